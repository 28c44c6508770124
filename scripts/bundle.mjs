// Bundles the sidecar into one file, which starts faster than separate modules.
import {build} from 'esbuild';
import {writeCodeCache} from '../platform/dist/codeCache.js';

const OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
};

await build({
  ...OPTIONS,
  entryPoints: ['platform/src/runSidecar.ts'],
  outfile: 'target/sidecar.cjs',
});
await build({
  ...OPTIONS,
  entryPoints: ['platform/src/launch.ts'],
  outfile: 'target/sycamoreyoke.cjs',
});
try {
  await writeCodeCache('target/sidecar.cache');
} catch (error) {
  // The sidecar runs without the code cache too, but starts more slowly.
  process.stderr.write(`no code cache: ${error.message}\n`);
}
process.exit();
