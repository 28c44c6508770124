/** Finds headers in a list of alternating names and values. */
import type {HeaderList} from '../types.js';

/** Returns the first value of a header; the name has to be in lower case. */
export function getHeader(
  headers: HeaderList,
  lowerCaseName: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === lowerCaseName)
      return headers[index + 1];
  }
  return undefined;
}
