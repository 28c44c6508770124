/** Validates the fields of frames, which may come from another program. */
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {MAX_DELAY_MS} from '../constants.js';
import type {HeaderList} from '../types.js';

/** A peer has sent a frame that violates the protocol. */
export class FrameError extends SycamoreyokeError {}

/** Longest name in a frame, characters. */
const MAX_NAME_LENGTH = 1_024;

export function readText(value: unknown): string {
  if (typeof value === 'string') return value;
  throw new FrameError('field is not a string');
}

export function readName(value: unknown): string {
  const name = readText(value);
  if (name.length > 0 && name.length <= MAX_NAME_LENGTH) return name;
  throw new FrameError(`field of ${name.length} characters is not a name`);
}

export function readFlag(value: unknown): boolean {
  if (typeof value === 'boolean') return value;
  throw new FrameError('field is not a boolean');
}

/** Reads a finite number that is not negative. */
export function readAmount(value: unknown): number {
  if (typeof value === 'number' && value >= 0 && value < Infinity) return value;
  throw new FrameError('field is not a finite non-negative number');
}

/** Reads a safe integer. */
export function readInteger(value: unknown): number {
  if (Number.isSafeInteger(value)) return value as number;
  throw new FrameError('field is not a safe integer');
}

/** Reads a safe integer that is not negative. */
export function readCount(value: unknown): number {
  return readAmount(readInteger(value));
}

/** Reads a time in ms and caps it at what timers support. */
export function readDelay(value: unknown): number {
  if (typeof value !== 'number' || Number.isNaN(value)) {
    throw new FrameError('field is not a number of milliseconds');
  }
  return Math.min(MAX_DELAY_MS, value);
}

export function readBytes(value: unknown): Uint8Array {
  if (value instanceof Uint8Array) return value;
  throw new FrameError('field is not binary');
}

export function readList(value: unknown): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new FrameError('field is not a list');
}

/** Reads a list of alternating header names and values. */
export function readHeaders(value: unknown): HeaderList {
  const headers = readList(value);
  if (headers.length % 2 === 0) return headers.map(readText);
  throw new FrameError('header list has a name without a value');
}

export function readMember<T>(members: ReadonlySet<T>, value: unknown): T {
  if (members.has(value as T)) return value as T;
  throw new FrameError('field has an unknown value');
}
