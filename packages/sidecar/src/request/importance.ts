/** Chooses how important a request is. */
import {Importance} from 'sycamoreyoke/types';
import type {Account} from 'sycamoreyoke/version/accounts';
import type {Route} from 'sycamoreyoke/version/routeTable';
import type {ParentCall} from '../process/upstreamTask.js';

/** Importance of requests by the rank of their route; other ranks have LOW. */
const IMPORTANCE_BY_RANK = [
  Importance.CRITICAL,
  Importance.HIGH,
  Importance.NORMAL,
] as const;

/**
 * The priority of the account takes precedence over the route's. A call is at
 * least as important as the request for which it is made.
 */
export function chooseImportance(
  route: Route,
  account: Account | undefined,
  parent: ParentCall | undefined,
): Importance {
  const rank = account?.rank ?? route.rank;
  const routeImportance = IMPORTANCE_BY_RANK[rank] ?? Importance.LOW;
  return Math.max(routeImportance, parent?.importance ?? routeImportance);
}
