/** Limit of client connections from the open descriptors of a process. */

/** Descriptors for files and for the listeners of the process. */
const FILES_RESERVE = 200;
/** Part for clients; the rest is for links, the store and the upstream. */
const CLIENTS_SHARE = 0.75;
/** Least connections on a machine with very few descriptors. */
const MIN_CLIENTS = 16;

/** Computes the client connections of a process with so many descriptors. */
export function computeMaxClients(maxFds: number): number {
  const sockets = (maxFds - FILES_RESERVE) * CLIENTS_SHARE;
  return Math.max(MIN_CLIENTS, Math.floor(sockets));
}
