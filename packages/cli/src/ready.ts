/** Prints the line by which a launcher learns ports, as JSON. */
export function printReady(content: object): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...content})}\n`);
}
