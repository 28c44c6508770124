/** Describes client accounts in the details of events, never by their keys. */
import type {EventDetails} from 'sycamoreyoke/process/events';
import type {AccountTable} from 'sycamoreyoke/version/accounts';
import type {KeyHistory} from 'sycamoreyoke/version/keyHistory';

/** Describes the account that a key identifies, if any. */
export function describeAccount(
  table: AccountTable | undefined,
  key: string | undefined,
): EventDetails {
  const account = key === undefined ? undefined : table?.accountsByKey.get(key);
  return account ? {account: account.name} : {};
}

/** Describes why a key, or none, identifies no account. */
export function describeKeyFault(
  history: KeyHistory,
  key: string | undefined,
): EventDetails {
  const {fault, accounts} = history.explain(key);
  const account = accounts.join(' ');
  return {
    hasKey: key !== undefined,
    fault,
    ...(account === '' ? {} : {account}),
  };
}
