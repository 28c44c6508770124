/** The accounts of a call: in the order of a gate, and in the log. */
import type {EventDetails} from 'sycamoreyoke/process/events';
import type {Arrival} from 'sycamoreyoke/process/types';
import type {OutgoingCall} from '../types.js';

/** Account of a call by its key, or else the one inferred for it. */
export type CallAccount = Pick<OutgoingCall, 'account' | 'inferredAccount'>;

/** Describes the call's place in the order of a gate. */
export function describeOrder(
  call: CallAccount & Pick<OutgoingCall, 'importance'>,
): Pick<Arrival, 'importance' | 'account'> {
  const {importance, account, inferredAccount} = call;
  return {importance, account: account ?? inferredAccount};
}

/** Describes the account, and whether it was inferred, for an event. */
export function describeCallAccount({
  account,
  inferredAccount,
}: CallAccount): EventDetails {
  if (account !== undefined) return {account};
  return inferredAccount === undefined ? {} : {inferredAccount};
}
