import {defineCommand} from 'citty';
import {buildObjectMap, compareSets} from 'sycamoreyoke/version/diff';
import {buildPresentObjects, readTableSet} from 'sycamoreyoke/version/tableSet';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  TABLE_ARGUMENT,
  createTableClient,
  formatChange,
  loadFiles,
  printJson,
  runCommand,
} from './shared.js';

/** Compares the published configuration with files. */
export const diffCommand = defineCommand({
  meta: {
    name: 'diff',
    description:
      'Compare the published configuration with files that hold a complete ' +
      'one.\n' +
      'Example: sycamoreyoke config diff --table-url http://127.0.0.1:7000 ' +
      'examples/suelas/*.yaml\n' +
      EXIT_CODES_HELP,
  },
  args: {'table-url': TABLE_ARGUMENT, json: JSON_ARGUMENT},
  run: (context) =>
    runCommand(context, async () => {
      const {args} = context;
      const {objects} = await loadFiles(args._);
      const publishedSet = await readTableSet(
        createTableClient(args['table-url']),
      );
      const changes = compareSets(
        buildPresentObjects(publishedSet),
        buildObjectMap(objects),
      );
      const base = publishedSet.head.version;
      if (args.json) {
        printJson({base, changes});
        return;
      }
      for (const change of changes) console.log(formatChange(change));
      console.log(`${changes.length} objects differ from version ${base}`);
    }),
});
