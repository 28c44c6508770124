// Builds the product: the build command of the deploy file. Writes node_modules
// if it differs from the lockfile, and else under `target/` only.
import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {installDependencies} from './dependencies.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));

try {
  // Without it, nothing of an earlier build starts if this one fails.
  rmSync(join(root, 'target/sycamoreyoke.cjs'), {recursive: true, force: true});
  installDependencies(root);
  const {writeProduct} = await import('./bundle.mjs');
  await writeProduct(root);
} catch (error) {
  process.stderr.write(`the build failed: ${error.message}\n`);
  process.exit(1);
}
