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
  OBJECT_STORE_ARGUMENT,
  TABLE_ARGUMENT,
  UsageError,
  createObjectStoreClient,
  createTableClient,
  formatChange,
  loadFiles,
  parseWholeNumber,
  printFindings,
  printJson,
  runCommand,
} from './shared.js';

/** Announces a published version to the nodes. */
export type AnnounceVersion = (
  table: TableService,
  version: number,
) => Promise<void>;

/** Builds the command that publishes files as the complete configuration. */
export function buildPublishCommand(
  announceVersion: AnnounceVersion = announceToSeeds,
) {
  return defineCommand({
    meta: {
      name: 'publish',
      description:
        'Publish files that hold the complete configuration.\n' +
        '--base is the version that the files are based on; "config diff" and ' +
        '"config show" print it. An object that another publish has changed ' +
        'since that version is a conflict.\n' +
        'Example: sycamoreyoke config publish --table-url ' +
        'http://127.0.0.1:7000 --object-store-url http://127.0.0.1:7000 ' +
        '--base 41 examples/suelas/*.yaml\n' +
        EXIT_CODES_HELP,
    },
    args: {
      'table-url': TABLE_ARGUMENT,
      'object-store-url': OBJECT_STORE_ARGUMENT,
      base: {
        type: 'string',
        default: '',
        description: 'Version that the files are based on',
      },
      who: {type: 'string', default: '', description: 'Default: user name'},
      nonce: {
        type: 'string',
        default: '',
        description: 'Nonce of an earlier publish whose outcome is unknown',
      },
      json: JSON_ARGUMENT,
    },
    run: (context) =>
      runCommand(context, async () => {
        const {args} = context;
        const {objects} = await loadFiles(args._);
        const table = createTableClient(args['table-url']);
        const store = createObjectStoreClient(args['object-store-url']);
        const base = parseWholeNumber('base', args.base);
        const baseObjects = await readSetAt(table, base);
        if (!baseObjects) {
          throw new UsageError(
            `version ${base} is not in the history that the table retains`,
          );
        }
        const changes = compareSets(baseObjects, buildObjectMap(objects));
        const published = await publishEdits(
          {table, clock: systemClock, random: Math.random, wait},
          {
            base,
            edits: buildEdits(changes),
            who: args.who === '' ? userInfo().username : args.who,
            nonce: args.nonce === '' ? randomUUID() : args.nonce,
          },
        );
        await announceVersion(table, published.version);
        // Not a failure: without a snapshot, nodes read all rows instead.
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
  const status = changes.length === 0 ? 'unchanged at' : 'published';
  console.log(`${status} version ${version}`);
}
