/** The event loop of the process, as the tasks use it. */

/** Calls back when the current turn of the loop ends, before it reads again. */
export function runAfterTurn(callback: () => void): void {
  setImmediate(callback);
}

/** Calls back once the loop has read all sockets that have data now. */
export function runAfterNextRead(callback: () => void): void {
  // The first one runs before the loop reads again, the second one after it.
  setImmediate(() => setImmediate(callback));
}
