// Installs the locked dependencies when they are missing or out of date.
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const marker = `${root}node_modules/.package-lock.json`;
const lockfile = `${root}package-lock.json`;

const isInstalled =
  existsSync(marker) && statSync(marker).mtimeMs >= statSync(lockfile).mtimeMs;

if (!isInstalled) {
  const result = spawnSync('npm', ['ci'], {cwd: root, stdio: 'inherit'});
  process.exit(result.status ?? 1);
}
