/** Limits of the bytes that a process holds for others, from its memory. */

const MB = 1024 * 1024;
/** Memory that the process needs without requests. */
const BASE_BYTES = 110 * MB;
/** Least memory that is left for requests on a very small machine. */
const MIN_FREE_BYTES = 16 * MB;
/**
 * Parts of the free memory. The rest is for the copies of a body while it is
 * assembled, encoded and written.
 */
const RESPONSES_SHARE = 0.25;
const FRAMES_SHARE = 0.4;
const CLIENT_OUTPUT_SHARE = 0.25;
const LINK_OUTPUT_SHARE = 0.15;

/** Limits in bytes. */
export interface MemoryLimits {
  /** Incomplete responses of the upstream, of all connections. */
  readonly responses: number;
  /** Body of one response. */
  readonly responseBody: number;
  /** Incomplete frames, of all links. */
  readonly frames: number;
  /** Answers that clients have not read yet, of all connections. */
  readonly clientOutput: number;
  /** Results that an origin has not read yet, of one link. */
  readonly linkOutput: number;
}

/** Computes the limits of a process with the given memory, MB. */
export function computeMemoryLimits(memoryMb: number): MemoryLimits {
  const freeBytes = Math.max(MIN_FREE_BYTES, memoryMb * MB - BASE_BYTES);
  const responses = freeBytes * RESPONSES_SHARE;
  return {
    responses,
    responseBody: responses / 2,
    frames: freeBytes * FRAMES_SHARE,
    clientOutput: freeBytes * CLIENT_OUTPUT_SHARE,
    linkOutput: freeBytes * LINK_OUTPUT_SHARE,
  };
}
