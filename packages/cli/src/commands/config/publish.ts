import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as wait} from 'node:timers/promises';
import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {defineCommand} from 'citty';
import {
  buildEdits,
  buildObjectMap,
  compareSets,
} from 'sycamoreyoke/version/diff';
import type {TableService} from 'sycamoreyoke/platform';
import type {PublishedVersion} from 'sycamoreyoke/version/publish';
import {publishEdits} from 'sycamoreyoke/version/publish';
import {writeSnapshotIfDue} from 'sycamoreyoke/version/snapshot';
import {readSetAt} from 'sycamoreyoke/version/tableSet';
import {announceToSeeds} from './announceToSeeds.js';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  STORE_ARGUMENT,
  TABLE_ARGUMENT,
  UsageError,
  createStore,
  createTable,
  formatChange,
  loadFiles,
  parseVersion,
  printFindings,
  printJson,
  runCommand,
} from './shared.js';

/** Tells one seed of each service of a version. */
export type NotifySeeds = (
  table: TableService,
  version: number,
) => Promise<void>;

/** Builds the command that publishes files as the whole set. */
export function buildPublishCommand(notify: NotifySeeds = announceToSeeds) {
  return defineCommand({
    meta: {
      name: 'publish',
      description:
        'Publish files that hold the whole set.\n' +
        '--base is the version that the files were made from; "config diff" ' +
        'and "config show" print it. An object that another publish changed ' +
        'since is a conflict.\n' +
        'Example: sycamoreyoke config publish --table-url ' +
        'http://127.0.0.1:7000 --object-store-url http://127.0.0.1:7000 ' +
        '--base 41 examples/suelas/*.yaml\n' +
        EXIT_CODES_HELP,
    },
    args: {
      'table-url': TABLE_ARGUMENT,
      'object-store-url': STORE_ARGUMENT,
      base: {type: 'string', default: '', description: 'Version seen'},
      who: {type: 'string', default: '', description: 'Default: user name'},
      nonce: {
        type: 'string',
        default: '',
        description: 'Nonce of a publish that ended as unknown',
      },
      json: JSON_ARGUMENT,
    },
    run: (context) =>
      runCommand(context, async () => {
        const {args} = context;
        const {objects} = await loadFiles(args._);
        const table = createTable(args['table-url']);
        const store = createStore(args['object-store-url']);
        const base = parseVersion('base', args.base);
        const before = await readSetAt(table, base);
        if (!before) {
          throw new UsageError(`version ${base} is not kept by the table`);
        }
        const changes = compareSets(before, buildObjectMap(objects));
        const published = await publishEdits(
          {table, clock: systemClock, random: Math.random, wait},
          {
            base,
            edits: buildEdits(changes),
            who: args.who === '' ? userInfo().username : args.who,
            nonce: args.nonce === '' ? randomUUID() : args.nonce,
          },
        );
        await notify(table, published.version);
        // Nodes can read all rows instead: a missing snapshot is no failure.
        await writeSnapshotIfDue(store, published).catch(() => false);
        printPublished(args.json, published);
      }),
  });
}

function printPublished(isJson: boolean, published: PublishedVersion): void {
  const {version, changes, warnings, isRecognised} = published;
  if (isJson) {
    printJson({version, changes, warnings, isRecognised});
    return;
  }
  printFindings(warnings);
  for (const change of changes) console.log(formatChange(change));
  const verb = changes.length === 0 ? 'unchanged at' : 'published';
  console.log(`${verb} version ${version}`);
}
