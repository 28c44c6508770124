import {defineCommand} from 'citty';
import {listHistory} from 'sycamoreyoke/version/history';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  TABLE_ARGUMENT,
  createTableClient,
  formatChange,
  parseWholeNumber,
  printJson,
  runCommand,
} from './shared.js';

/** Lists published versions and their changes, newest first. */
export const historyCommand = defineCommand({
  meta: {
    name: 'history',
    description:
      'List published versions, newest first.\n' +
      'Example: sycamoreyoke config history --table-url ' +
      'http://127.0.0.1:7000 --limit 5\n' +
      EXIT_CODES_HELP,
  },
  args: {
    'table-url': TABLE_ARGUMENT,
    limit: {
      type: 'string',
      default: '20',
      description: 'Number of versions to list',
    },
    json: JSON_ARGUMENT,
  },
  run: (context) =>
    runCommand(context, async () => {
      const {args} = context;
      const limit = parseWholeNumber('limit', args.limit);
      const records = await listHistory(
        createTableClient(args['table-url']),
        limit,
      );
      if (args.json) {
        printJson(records);
        return;
      }
      for (const {version, when, who, changes} of records) {
        console.log(`${version} ${when} ${who}`);
        for (const change of changes) console.log(`  ${formatChange(change)}`);
      }
    }),
});
