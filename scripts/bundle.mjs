/**
 * Writes the sidecar to `target/`: a bundle, which starts faster than separate
 * modules, V8's code cache of it, and the program that starts both.
 */
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
  existsSync,
  mkdirSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {dirname, join} from 'node:path';
import {build} from 'esbuild';
import {parse} from 'smol-toml';
import {readLockedPackages} from './dependencies.mjs';

const TARGET = 'target';
const LAUNCHER = 'sycamoreyoke.cjs';
/** Digests of the sources, which tell output of another state. */
const SOURCES = 'sources.json';
const CACHE_COMPILER = 'scripts/compileCodeCache.mjs';
const CACHE_TIMEOUT_MS = 60_000;
/** Seeds the hashes in the code cache, so that each build makes the same. */
const SEED_FLAG = '--random-seed=1';
const DIGEST_LENGTH = 16;
/** Product modules; tests, stand-ins and the soak are none. */
const PRODUCT_SOURCE =
  /^(packages\/[a-z]+|platform)\/src\/(?!standins\/|soak\/).+(?<!\.test)\.ts$/;
const DEPENDENCY = /^(.*\bnode_modules\/(?:@[^/]+\/)?[^/]+)\//;
/** Files that a build of any state has written, besides the launcher. */
const BUILT_FILE = /^sidecar.*\.(cjs|cache)$/;
/** A file that is being written, with the process that writes it. */
const PART_FILE = /\.(\d+)\.part$/;

/**
 * Resolves imports to the sources of this clone. By default, they lead to
 * compiled modules, which may be of another state, through links in
 * node_modules.
 */
function createSourceResolver(root) {
  const resolve = (path) => {
    if (existsSync(path)) return {path};
    return {errors: [{text: `there is no source "${path}"`}]};
  };
  return {
    name: 'workspace-sources',
    setup({onResolve}) {
      const name = /^(?:@sycamoreyoke\/([a-z]+)|(sycamoreyoke))\/(.+)$/;
      onResolve({filter: name}, ({path}) => {
        const [, scoped, library, module] = name.exec(path);
        const folder = join(root, 'packages', scoped ?? library, 'src');
        return resolve(join(folder, `${module}.ts`));
      });
      onResolve({filter: /^\.\.?\/.*\.js$/}, ({path, importer}) => {
        if (!importer.endsWith('.ts')) return undefined;
        const source = path.replace(/js$/, 'ts');
        return resolve(join(dirname(importer), source));
      });
    },
  };
}

/** Throws if the bundle has a module that is no part of the product. */
function checkInputs(inputs, lockedPackages) {
  for (const path of Object.keys(inputs)) {
    const [, dependency] = DEPENDENCY.exec(path) ?? [];
    if (dependency !== undefined && !(dependency in lockedPackages))
      throw new Error(`${dependency} is not in the lockfile`);
    if (dependency !== undefined || PRODUCT_SOURCE.test(path)) continue;
    const importer = Object.keys(inputs).find((each) =>
      inputs[each].imports.some((imported) => imported.path === path),
    );
    throw new Error(`${path} is no module of the product, but of ${importer}`);
  }
}

function computeDigest(content) {
  return createHash('sha256').update(content).digest('hex');
}

/** Returns the digests of the sources among the modules of a bundle. */
function describeSources(root, inputs) {
  const paths = Object.keys(inputs).filter((path) => !DEPENDENCY.test(path));
  return Object.fromEntries(
    [...paths, 'package-lock.json']
      .sort()
      .map((path) => [path, computeDigest(readFileSync(join(root, path)))]),
  );
}

/** Compiles a module with all that it imports to the text of one script. */
async function compileScript(root, entryPoint, constants = {}) {
  const {outputFiles, metafile} = await build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    tsconfig: 'tsconfig.base.json',
    plugins: [createSourceResolver(root)],
    define: constants,
    write: false,
    metafile: true,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    legalComments: 'none',
  });
  return {text: outputFiles[0].text, inputs: metafile.inputs};
}

/**
 * Reads the flags with which the deploy file starts the sidecar. V8 accepts a
 * code cache only from a process with the same flags.
 */
function readFlags(root) {
  const file = 'deploy/system.toml';
  const {roles} = parse(readFileSync(join(root, file), 'utf8'));
  const run = roles?.sidecar?.run;
  if (typeof run !== 'string')
    throw new Error(`${file} has no command for the role "sidecar"`);
  return run.split(' ').filter((word) => word.startsWith('--'));
}

function compileCodeCache(root, bundle, file) {
  const args = [
    SEED_FLAG,
    ...readFlags(root),
    join(root, CACHE_COMPILER),
    file,
  ];
  return execFileSync(process.execPath, args, {
    input: bundle,
    maxBuffer: Infinity,
    timeout: CACHE_TIMEOUT_MS,
    stdio: ['pipe', 'pipe', 'inherit'],
  });
}

/** Replaces a file at once, so that nobody reads a part of it. */
function replaceFile(path, content) {
  const part = `${path}.${process.pid}.part`;
  writeFileSync(part, content);
  renameSync(part, path);
}

function isRunning(pid) {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

function isLeftOver(name, kept) {
  const [, pid] = PART_FILE.exec(name) ?? [];
  if (pid !== undefined) return !isRunning(Number(pid));
  return BUILT_FILE.test(name) && !kept.includes(name);
}

/** Removes what other builds have written, also interrupted ones. */
function removeLeftOvers(folder, kept) {
  for (const name of readdirSync(folder)) {
    if (isLeftOver(name, kept))
      rmSync(join(folder, name), {recursive: true, force: true});
  }
}

/** Builds the product of the present sources; throws if it can't. */
export async function writeProduct(root) {
  const sidecar = await compileScript(root, 'platform/src/runSidecar.ts');
  const bundle = sidecar.text;
  const name = `sidecar-${computeDigest(bundle).slice(0, DIGEST_LENGTH)}`;
  const starter = await compileScript(root, 'platform/src/launch.ts', {
    BUNDLE_NAME: JSON.stringify(name),
  });
  const launcher = starter.text;
  const inputs = {...sidecar.inputs, ...starter.inputs};
  checkInputs(inputs, readLockedPackages(root));
  const cache = compileCodeCache(root, bundle, `${name}.cjs`);
  const sources = JSON.stringify(describeSources(root, inputs), undefined, 1);
  const files = new Map([
    [`${name}.cjs`, bundle],
    [`${name}-${process.version}-${process.arch}.cache`, cache],
    [SOURCES, sources],
    // The last one, as it starts the others.
    [LAUNCHER, launcher],
  ]);
  const folder = join(root, TARGET);
  mkdirSync(folder, {recursive: true});
  for (const [file, content] of files) replaceFile(join(folder, file), content);
  const names = [...files.keys()];
  removeLeftOvers(folder, names);
  const isComplete =
    names.every((file) => existsSync(join(folder, file))) &&
    readFileSync(join(folder, LAUNCHER), 'utf8') === launcher;
  if (!isComplete)
    throw new Error(`another build has changed ${TARGET}/; run it again`);
}
