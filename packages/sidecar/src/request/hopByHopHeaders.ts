/** Hop-by-hop headers, which concern one connection and are not forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'proxy-connection',
  'te',
  'trailer',
  'upgrade',
]);
