import {readFile, readdir} from 'node:fs/promises';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {startPlatform} from '@sycamoreyoke/standins/platform/platformServer';
import {expect} from 'chai';
import {runCommand as runCitty} from 'citty';
import type {ArgsDef, CommandDef} from 'citty';
import {ImportanceName, Lean, ObjectKind} from 'sycamoreyoke/version/types';
import {buildJsonSchema} from 'sycamoreyoke/version/schema';
import {checkCommand} from './check.js';
import {parseFile} from './configurationFiles.js';
import {historyCommand} from './history.js';
import {buildPublishCommand} from './publish.js';
import {ExitCode, loadFiles} from './shared.js';

const ROOT = new URL('../../../../../', import.meta.url);

async function listExamples(name: string): Promise<string[]> {
  const folder = new URL(`examples/${name}/`, ROOT);
  const files = await readdir(folder);
  return files.map((file) => new URL(file, folder).pathname);
}

/** Runs a command and returns its exit code and printed lines. */
async function runCaptured<T extends ArgsDef>(
  command: CommandDef<T>,
  rawArgs: string[],
) {
  const lines: string[] = [];
  const {log, error} = console;
  const print = (line: unknown) => void lines.push(String(line));
  Object.assign(console, {log: print, error: print});
  process.exitCode = ExitCode.OK;
  try {
    await runCitty(command, {rawArgs});
    return {code: process.exitCode, text: lines.join('\n')};
  } finally {
    Object.assign(console, {log, error});
    process.exitCode = 0;
  }
}

// Guards against examples that fail validation when someone publishes them.
it('config: the examples are valid and without warnings', async () => {
  const leanByExample = {suelas: Lean.RECOVERY, thekkady: Lean.GOODPUT};
  for (const [name, lean] of Object.entries(leanByExample)) {
    const {objects, findings} = await loadFiles(await listExamples(name));
    expect(findings).to.deep.equal([]);
    for (const object of objects) {
      if (object.kind === ObjectKind.POLICY) {
        expect(object.lean).to.equal(lean);
      }
      if (object.kind === ObjectKind.REQUEST_CLASS) {
        const isCritical = object.importance === ImportanceName.CRITICAL;
        expect(object.idempotent, object.name).to.equal(!isCritical);
      }
    }
  }
});

// Guards against a JSON schema for editors that differs from the validation.
it('config: docs/configuration.schema.json is up to date', async () => {
  const file = new URL('docs/configuration.schema.json', ROOT);
  const committed: unknown = JSON.parse(await readFile(file, 'utf8'));
  expect(committed).to.deep.equal(
    JSON.parse(JSON.stringify(buildJsonSchema())),
  );
});

// Guards against findings that do not name the line that is to be edited.
it('config: finds the lines of objects in YAML and JSON files', () => {
  const yaml = 'objects:\n  - kind: policy\n    name: p\n    queueLimit: -1\n';
  const [object] = parseFile('a.yaml', yaml).sources;
  expect(object?.findLine?.(['queueLimit'])).to.equal(4);
  expect(object?.findLine?.(['missing'])).to.equal(2);
  const json = '{"objects": [\n{"kind": "policy",\n"name": "p"}]}';
  expect(parseFile('a', json).sources[0]?.findLine?.(['name'])).to.equal(3);
  expect(parseFile('a', 'a: [').findings[0]?.line).to.equal(1);
  expect(parseFile('a', 'items: []').findings).to.have.length(1);
});

// Guards against an exit code that makes a script mistake a failure for success
// or one kind of failure for another.
it('config: exit codes for findings, usage, conflict and outage', async () => {
  const server = await startPlatform(0, '127.0.0.1');
  // Close it after a failure too: an open server keeps mocha running.
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  try {
    await checkExitCodes(server, close);
  } finally {
    close();
  }
});

async function checkExitCodes(server: Server, close: () => void) {
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const announcedVersions: number[] = [];
  const publish = buildPublishCommand((_table, version) => {
    announcedVersions.push(version);
    return Promise.resolve();
  });
  const suelas = await listExamples('suelas');
  const thekkady = await listExamples('thekkady');
  const flags = ['--table-url', url, '--object-store-url', url, '--base'];
  const run = (base: string, files: string[]) =>
    runCaptured(publish, [...flags, base, ...files]);
  expect((await run('0', suelas)).code).to.equal(ExitCode.OK);
  const conflict = await run('0', suelas);
  expect(conflict.code).to.equal(ExitCode.CONFLICT);
  expect(conflict.text).to.match(/was changed by version 1/);
  const both = await runCaptured(checkCommand, [...suelas, ...thekkady]);
  expect(both.code).to.equal(ExitCode.FINDINGS);
  expect(both.text).to.match(/classes.yaml:\d+ retryLimit "one-retry" name/);
  expect((await run('x', suelas)).code).to.equal(ExitCode.USAGE);
  const unknown = await runCaptured(checkCommand, ['--jsn', ...suelas]);
  expect(unknown.code).to.equal(ExitCode.USAGE);
  const history = ['--table-url', url, '--json'];
  const listed = await runCaptured(historyCommand, history);
  expect(JSON.parse(listed.text)).to.have.length(1);
  close();
  const outage = await runCaptured(historyCommand, history);
  expect(outage.code).to.equal(ExitCode.PLATFORM_UNAVAILABLE);
  expect(announcedVersions).to.deep.equal([1]);
}
