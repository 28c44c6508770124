/** Looks headers up in a list of names and values. */
import type {HeaderList} from '../types.js';

/** The value of a header, by its lower-case name. */
export function getHeader(
  headers: HeaderList,
  wanted: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === wanted) return headers[index + 1];
  }
  return undefined;
}
