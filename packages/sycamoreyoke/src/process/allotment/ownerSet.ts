/** Chooses the nodes that own accounts, and their order for an account. */
import {computeRendezvousWeight} from '../../rendezvous.js';
import {OWNER_COUNT} from './constants.js';

const SET_KEY = 'allotment-owners';

/** Chooses the owner set: the nodes with the highest weight for a fixed key. */
export function chooseOwnerSet(nodes: Iterable<string>): readonly string[] {
  return sortOwners(SET_KEY, [...nodes]).slice(0, OWNER_COUNT);
}

/** Sorts nodes by their weight for a key; the first one owns the account. */
export function sortOwners(
  key: string,
  nodes: readonly string[],
): readonly string[] {
  return nodes
    .map((node) => ({node, weight: computeRendezvousWeight(key, node)}))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? 1 : -1))
    .map(({node}) => node);
}
