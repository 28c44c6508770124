import {defineCommand} from 'citty';
import {
  buildPresentObjects,
  readSetAt,
  readTableSet,
} from 'sycamoreyoke/version/tableSet';
import {stringify} from 'yaml';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  TABLE_ARGUMENT,
  UsageError,
  createTableClient,
  parseWholeNumber,
  printJson,
  runCommand,
} from './shared.js';

/** Prints the configuration of the newest or of an earlier version. */
export const showCommand = defineCommand({
  meta: {
    name: 'show',
    description:
      'Print the published configuration, or that of an earlier version, as ' +
      'a file.\n' +
      'Example: sycamoreyoke config show --table-url http://127.0.0.1:7000 ' +
      '--at 41 > set.yaml\n' +
      EXIT_CODES_HELP,
  },
  args: {
    'table-url': TABLE_ARGUMENT,
    at: {type: 'string', default: '', description: 'Version; default: newest'},
    json: JSON_ARGUMENT,
  },
  run: (context) =>
    runCommand(context, async () => {
      const {args} = context;
      const table = createTableClient(args['table-url']);
      let version: number;
      let objects;
      if (args.at === '') {
        const publishedSet = await readTableSet(table);
        version = publishedSet.head.version;
        objects = buildPresentObjects(publishedSet);
      } else {
        version = parseWholeNumber('at', args.at);
        objects = await readSetAt(table, version);
      }
      if (!objects) {
        throw new UsageError(
          `version ${version} is not in the history that the table retains`,
        );
      }
      const content = {objects: [...objects.values()]};
      if (args.json) printJson({version, ...content});
      else console.log(`# version ${version}\n${stringify(content)}`);
    }),
});
