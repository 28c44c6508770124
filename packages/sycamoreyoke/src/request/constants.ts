/** Longest time a caller may ask for. */
export const MAX_TIMEOUT_MS = 120_000;
/** Highest attempt number of a send. */
export const MAX_ATTEMPT = 1_000;
/** Highest allowance that a header may carry. */
export const MAX_ALLOWANCE = 100;
/** Longest request id in characters. */
export const MAX_REQUEST_ID_LENGTH = 64;
/** Headers of a call in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;
/** Body of a request or a response in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Prefix of all headers of the project. */
export const HEADER_PREFIX = 'sycamoreyoke-';
/** Time kept back on each hop for the response to travel. */
export const HOP_RESERVE_MS = 2;
