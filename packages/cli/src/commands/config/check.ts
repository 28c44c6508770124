import {defineCommand} from 'citty';
import {
  EXIT_CODES_HELP,
  JSON_ARGUMENT,
  loadFiles,
  printFindings,
  printJson,
  runCommand,
} from './shared.js';

/** Validates files together, as one complete configuration. */
export const checkCommand = defineCommand({
  meta: {
    name: 'check',
    description:
      'Check files together, as one complete configuration.\n' +
      'Example: sycamoreyoke config check examples/suelas/*.yaml\n' +
      EXIT_CODES_HELP,
  },
  args: {json: JSON_ARGUMENT},
  run: (context) =>
    runCommand(context, async () => {
      const {args} = context;
      const {objects, findings} = await loadFiles(args._);
      if (args.json) {
        printJson({objects: objects.length, findings});
        return;
      }
      printFindings(findings);
      console.log(`${objects.length} objects are valid`);
    }),
});
