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
  createTable,
  parseVersion,
  printJson,
  runCommand,
} from './shared.js';

/** Prints the set in force, or that of an earlier version. */
export const showCommand = defineCommand({
  meta: {
    name: 'show',
    description:
      'Print the set in force, or that of a kept version, as a file.\n' +
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
      const table = createTable(args['table-url']);
      let version: number;
      let objects;
      if (args.at === '') {
        const set = await readTableSet(table);
        version = set.head.version;
        objects = buildPresentObjects(set);
      } else {
        version = parseVersion('at', args.at);
        objects = await readSetAt(table, version);
      }
      if (!objects) {
        throw new UsageError(`version ${version} is not kept by the table`);
      }
      const content = {objects: [...objects.values()]};
      if (args.json) printJson({version, ...content});
      else console.log(`# version ${version}\n${stringify(content)}`);
    }),
});
