/** Validates the head of a response before it is sent to a client. */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {HeaderList} from '../types.js';

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Returns why a head cannot be written, or undefined if it can. The HTTP
 * library throws on an invalid head, which would end the process and all
 * connections.
 */
export function findHeadFault(
  status: number,
  headers: HeaderList,
): string | undefined {
  const isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  if (!Number.isInteger(status) || !isFinal) {
    return `status ${status} is not a final status`;
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
