import {defineCommand} from 'citty';
import {buildObjectMap, compareSets} from 'sycamoreyoke/version/diff';
import {buildPresentObjects, readTableSet} from 'sycamoreyoke/version/tableSet';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  TABLE_ARGUMENT,
  createTable,
  formatChange,
  loadFiles,
  printJson,
  runCommand,
} from './shared.js';

/** Compares the set in force with files. */
export const diffCommand = defineCommand({
  meta: {
    name: 'diff',
    description:
      'Compare the set in force with files that hold the whole set.\n' +
      'Example: sycamoreyoke config diff --table-url http://127.0.0.1:7000 ' +
      'examples/suelas/*.yaml\n' +
      EXIT_CODES_HELP,
  },
  args: {'table-url': TABLE_ARGUMENT, json: JSON_ARGUMENT},
  run: (context) =>
    runCommand(context, async () => {
      const {args} = context;
      const {objects} = await loadFiles(args._);
      const set = await readTableSet(createTable(args['table-url']));
      const changes = compareSets(
        buildPresentObjects(set),
        buildObjectMap(objects),
      );
      const base = set.head.version;
      if (args.json) {
        printJson({base, changes});
        return;
      }
      for (const change of changes) console.log(formatChange(change));
      console.log(`${changes.length} objects differ from version ${base}`);
    }),
});
