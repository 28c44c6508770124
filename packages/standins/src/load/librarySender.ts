/** Sends the requests of a load run through the caller library. */
import type {SycamoreyokeCaller} from '@sycamoreyoke/caller/caller';
import type {CallResult} from '@sycamoreyoke/caller/types';
import {Outcome} from 'sycamoreyoke/types';
import {isWholeBody} from './plainSender.js';
import type {LibrarySender} from './runLoad.js';

const NOT_SENT_RESULT = {
  outcome: Outcome.NOT_RUN,
  status: 0,
  retries: 0,
  sends: 0,
  isWhole: false,
  isForeign: false,
} as const;

/** Creates a sender that sends through the given caller. */
export function createLibrarySender(caller: SycamoreyokeCaller): LibrarySender {
  return async ({requestId, classLoad}) => {
    try {
      const {requestClass, timeoutMs} = classLoad;
      const result = await caller.send({requestClass, requestId, timeoutMs});
      const isSuccess =
        result.outcome === Outcome.DONE && result.status === 200;
      const isWhole = isSuccess && checkBody(result, requestId);
      const {outcome, status, retries, sends} = result;
      const isForeign = isSuccess && !isWhole;
      return {outcome, status, retries, sends, isWhole, isForeign};
    } catch {
      // The caller rejects only when it cannot read the directory.
      return NOT_SENT_RESULT;
    }
  };
}

function checkBody({body, headers}: CallResult, requestId: string): boolean {
  try {
    return isWholeBody(Buffer.from(body), headers, requestId);
  } catch {
    return false;
  }
}
