/** Compares node_modules with the lockfile, and installs what is locked. */
import {spawnSync} from 'node:child_process';
import {readFileSync, realpathSync} from 'node:fs';
import {join} from 'node:path';

/** The platform allows a build 15 minutes. */
const INSTALL_TIMEOUT_MS = 10 * 60_000;
const LOCKFILE = 'package-lock.json';
/** Written by npm at the end of an installation. */
const INSTALLED_LIST = 'node_modules/.package-lock.json';

/** Returns the entries of a lockfile by the folder of their package. */
export function readLockedPackages(root, file = LOCKFILE) {
  return JSON.parse(readFileSync(join(root, file), 'utf8')).packages;
}

/** Whether a field such as `os` of a package allows a value. */
function allows(field, value) {
  if (field === undefined || field.includes(value)) return true;
  const isExclusion = field.every((name) => name.startsWith('!'));
  return isExclusion && !field.includes(`!${value}`);
}

function readLibc() {
  const {header} = process.report.getReport();
  return header.glibcVersionRuntime ? 'glibc' : 'musl';
}

/** Whether npm installs the package on this kind of machine. */
function isForThisMachine({os, cpu, libc}) {
  return (
    allows(os, process.platform) &&
    allows(cpu, process.arch) &&
    (libc === undefined || allows(libc, readLibc()))
  );
}

/** Packages without native code are missing if their script failed. */
function mayBeMissing({optional, os, cpu}) {
  return optional === true && os === undefined && cpu === undefined;
}

/** Whether the folder holds the locked version, or links to its workspace. */
function isInPlace(root, path, {link, resolved, version}) {
  const folder = join(root, path);
  if (link) return realpathSync(folder) === realpathSync(join(root, resolved));
  const file = join(folder, 'package.json');
  return JSON.parse(readFileSync(file, 'utf8')).version === version;
}

function isAsLocked(root, path, locked, installed) {
  if (!installed) return mayBeMissing(locked);
  const fields = ['version', 'integrity', 'resolved'];
  if (fields.some((field) => locked[field] !== installed[field])) return false;
  try {
    return isInPlace(root, path, locked);
  } catch {
    return false;
  }
}

/**
 * Returns what in node_modules differs from the lockfile, or undefined. The
 * times of the files are not compared: a copied folder has any times. It may
 * also hold the programs of another kind of machine, or links to another clone.
 */
export function findDifference(root) {
  let installed;
  try {
    installed = readLockedPackages(root, INSTALLED_LIST);
  } catch {
    return `${INSTALLED_LIST} can't be read`;
  }
  const locked = readLockedPackages(root);
  for (const path of Object.keys(installed)) {
    if (!(path in locked)) return `${path} is not locked`;
  }
  for (const [path, entry] of Object.entries(locked)) {
    if (!path.includes('node_modules/') || !isForThisMachine(entry)) continue;
    if (!isAsLocked(root, path, entry, installed[path])) {
      return `${path} is not as locked`;
    }
  }
  return undefined;
}

/** Installs the locked packages unless they are in place; throws if it can't. */
export function installDependencies(root) {
  const difference = findDifference(root);
  if (difference === undefined) return;
  process.stderr.write(`npm ci, as ${difference}\n`);
  const {status, signal, error} = spawnSync('npm', ['ci'], {
    cwd: root,
    stdio: ['ignore', 'inherit', 'inherit'],
    timeout: INSTALL_TIMEOUT_MS,
  });
  if (error) throw new Error(`npm ci failed: ${error.message}`);
  if (status !== 0) throw new Error(`npm ci failed: ${signal ?? status}`);
  const remaining = findDifference(root);
  if (remaining !== undefined) {
    throw new Error(`npm ci has not installed what is locked: ${remaining}`);
  }
}
