// Removes compiled modules whose sources are gone. The compiler leaves them, and
// the test runner would run their tests.
import {existsSync, readdirSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const OUTPUT = /\.(d\.ts|js|js\.map)$/;

const projects = readdirSync(join(root, 'packages'))
  .map((name) => join(root, 'packages', name))
  .concat(join(root, 'platform'));

for (const project of projects) {
  const dist = join(project, 'dist');
  if (!existsSync(dist)) continue;
  for (const file of readdirSync(dist, {recursive: true})) {
    if (!OUTPUT.test(file)) continue;
    const source = join(project, 'src', file.replace(OUTPUT, '.ts'));
    if (!existsSync(source)) rmSync(join(dist, file), {recursive: true});
  }
}
