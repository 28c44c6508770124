import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {loadPlan, renderSummaries} from './load.js';

const PLAN = `
caller: site
token: secret
entries: {tracking: ['http://127.0.0.1:7100']}
serviceOfClass: {read-status: tracking}
classes: [{requestClass: read-status, perSecond: 5}]
durationMs: 1000
`;

async function loadText(text: string) {
  const folder = await mkdtemp(join(tmpdir(), 'sycamoreyoke-load-'));
  try {
    const path = join(folder, 'plan.yaml');
    await writeFile(path, text);
    return await loadPlan(path);
  } finally {
    await rm(folder, {recursive: true});
  }
}

async function findMessage(text: string): Promise<string> {
  return loadText(text).then(
    () => '',
    (error: unknown) => (error as Error).message,
  );
}

// Guards against a plan whose defaults are missing when it is run.
it('reads a plan and fills in defaults', async () => {
  const plan = await loadText(PLAN);
  expect(plan.classes[0]?.timeoutMs).to.equal(1_000);
  expect(plan.maxInFlight).to.equal(5_000);
});

// Guards against a second fault that is reported only once the first is fixed.
it('reports every fault of a plan', async () => {
  const text = PLAN.replace('1000', '-1').replace('perSecond: 5', 'rate: 5');
  const message = await findMessage(text);
  expect(message).to.include('durationMs');
  expect(message).to.include('classes.0.perSecond');
});

// Guards against a parse error that does not name the file.
it('names a plan that cannot be parsed', async () => {
  expect(await findMessage('{"caller": ')).to.match(/load plan ".*plan.yaml"/);
});

// Guards against columns that are not aligned with their titles.
it('renders a line for each class', () => {
  const [head = '', row = ''] = renderSummaries([
    {
      requestClass: 'read-status',
      offered: 10,
      whole: 4,
      shed: 3,
      unknown: 2,
      failed: 1,
      foreign: 0,
      p50Ms: 5,
      p99Ms: 9,
      maxRetries: 2,
    },
  ]).split('\n');
  const at = head.indexOf('unknown');
  expect(row.slice(at, at + 1)).to.equal('2');
  expect(row.trimEnd().endsWith('2')).to.equal(true);
});
