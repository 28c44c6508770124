/** Judges the head of a response before it goes to a client. */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {HeaderList} from '../types.js';

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Says why a head cannot be written. The HTTP library throws at such a head,
 * which would end the process and every connection with it.
 */
export function findHeadFault(
  status: number,
  headers: HeaderList,
): string | undefined {
  const isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  if (!Number.isInteger(status) || !isFinal) {
    return `status ${status} is not a final one`;
  }
  try {
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1] ?? '');
    }
  } catch (error) {
    return (error as Error).message;
  }
  return undefined;
}
