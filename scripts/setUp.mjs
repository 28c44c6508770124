// Installs the locked dependencies when they are missing or differ.
import {fileURLToPath} from 'node:url';
import {installDependencies} from './dependencies.mjs';

try {
  installDependencies(fileURLToPath(new URL('..', import.meta.url)));
} catch (error) {
  process.stderr.write(`${error.message}\n`);
  process.exit(1);
}
