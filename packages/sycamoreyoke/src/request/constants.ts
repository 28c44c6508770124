/** Longest timeout that a caller may request. */
export const MAX_TIMEOUT_MS = 120_000;
/** Highest attempt number that a send may carry. */
export const MAX_ATTEMPT = 1_000;
/** Highest retry allowance that a header may carry. */
export const MAX_ALLOWANCE = 100;
/** Maximum length of a request ID, in characters. */
export const MAX_REQUEST_ID_LENGTH = 64;
/** Maximum size of the headers of a call. */
export const MAX_HEADER_BYTES = 16 * 1024;
/** Maximum size of the body of a request or a response. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Prefix of the header names that are specific to the project. */
export const HEADER_PREFIX = 'sycamoreyoke-';
/** Time reserved on each hop for the response to travel back. */
export const HOP_RESERVE_MS = 2;
