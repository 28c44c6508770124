/** Decodes the first bytes of a frame whose content is not kept. */
import {unpackMultiple} from 'msgpackr';
import type {FrameKind} from './frame.js';

/** Kind and id of a frame. */
export interface FrameHead {
  readonly kind: FrameKind;
  readonly id: number;
}

/** First bytes of a frame in which its kind and id are. */
export const FRAME_HEAD_BYTES = 16;

/** Decodes the first bytes of a frame; undefined if it has no id. */
export function decodeFrameHead(start: Buffer): FrameHead | undefined {
  const values: unknown[] = [];
  try {
    // The list's own head is skipped; the values behind it are decoded.
    unpackMultiple(start.subarray(1), (value: unknown) => {
      values.push(value);
      return values.length < 2;
    });
  } catch {
    // The rest of the frame is missing.
  }
  const [kind, id] = values;
  return typeof kind === 'number' && typeof id === 'number'
    ? {kind, id}
    : undefined;
}
