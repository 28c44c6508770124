/** Limits of the bytes that a process holds for others, from its memory. */
import type {AdmissionLimits} from 'sycamoreyoke/process/byteAdmission';

const MB = 1024 * 1024;
/** Memory that the process needs without requests. */
const BASE_BYTES = 110 * MB;
/** Least memory that is left for requests on a very small machine. */
const MIN_FREE_BYTES = 16 * MB;
/**
 * Parts of the free memory. The rest is for the copy of a response when it is
 * joined. At 250 MB, the share for what is held leaves 73 MB for large bodies,
 * so that a body of 64 MiB fits.
 */
const HELD_SHARE = 0.6;
/** Part of the held bytes that small bodies and frames have for themselves. */
const SMALL_SHARE = 0.125;
const RESPONSES_SHARE = 0.25;
const CLIENT_OUTPUT_SHARE = 0.25;
const LINK_OUTPUT_SHARE = 0.15;

/** Limits in bytes. */
export interface MemoryLimits {
  /** Incomplete responses of the upstream, of all connections. */
  readonly responses: number;
  /** Body of one response. */
  readonly responseBody: number;
  /** Bodies of requests, frames and calls at the gate. */
  readonly held: AdmissionLimits;
  /** Answers that clients have not read yet, of all connections. */
  readonly clientOutput: number;
  /** Results that an origin has not read yet, of one link. */
  readonly linkOutput: number;
}

/** Computes the limits of a process with the given memory, MB. */
export function computeMemoryLimits(memoryMb: number): MemoryLimits {
  const freeBytes = Math.max(MIN_FREE_BYTES, memoryMb * MB - BASE_BYTES);
  const maxBytes = freeBytes * HELD_SHARE;
  const responses = freeBytes * RESPONSES_SHARE;
  return {
    responses,
    responseBody: responses / 2,
    held: {maxBytes, largeBytes: maxBytes * (1 - SMALL_SHARE)},
    clientOutput: freeBytes * CLIENT_OUTPUT_SHARE,
    linkOutput: freeBytes * LINK_OUTPUT_SHARE,
  };
}
