/** Describes client accounts to operators, never by their keys. */
import type {Clock} from 'sycamoreyoke/clock';
import type {AccountMetrics} from 'sycamoreyoke/process/accountMetrics';
import type {EventDetails} from 'sycamoreyoke/process/events';
import type {AccountTable} from 'sycamoreyoke/version/accounts';
import type {KeyHistory} from 'sycamoreyoke/version/keyHistory';
import {KeyFault} from 'sycamoreyoke/version/keyHistory';
import {AnswerKind} from './originCall.js';

/** Describes the account that a key identifies, if any. */
export function describeAccount(
  table: AccountTable | undefined,
  key: string | undefined,
): EventDetails {
  const account = key === undefined ? undefined : table?.accountsByKey.get(key);
  return account ? {account: account.name} : {};
}

/**
 * Describes why a key, or none, identifies no account: with the account that
 * held a withdrawn key, or the accounts that hold a shared one.
 */
export function describeKeyFault(
  history: KeyHistory,
  key: string | undefined,
): EventDetails {
  const {fault, accounts} = history.explain(key);
  const details = {hasKey: key !== undefined, fault};
  const names = accounts.join(' ');
  if (fault === KeyFault.WITHDRAWN) return {...details, account: names};
  return fault === KeyFault.SHARED ? {...details, accounts: names} : details;
}

/** Counts a request that was refused before it was sent to a node. */
export function countRefusal(
  {accountMetrics, clock}: {accountMetrics: AccountMetrics; clock: Clock},
  {account}: EventDetails,
  reason: string,
): void {
  if (typeof account !== 'string') return;
  const nowMs = clock.readMs();
  accountMetrics.record(account, AnswerKind.NOT_RUN, reason, nowMs);
}
