/**
 * Prints a JSON line that tells a launcher that the process is ready and on
 * which ports it listens.
 */
export function printReady(content: object): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...content})}\n`);
}
