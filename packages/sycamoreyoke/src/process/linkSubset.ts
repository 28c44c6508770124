/** Chooses the nodes of a service to which a node keeps connections. */
import {computeRendezvousWeight} from '../rendezvous.js';

/** A node to which a link may be kept. */
export interface LinkCandidate {
  readonly node: string;
  readonly dataCentre: string;
}

/** Maximum number of links from one node to one service. */
export interface SubsetBounds {
  /** Links in total. */
  readonly total: number;
  /** Links within the local data centre, which carry most of the calls. */
  readonly local: number;
}

/**
 * Chooses a deterministic subset of the nodes of a service. Links to all nodes
 * would grow with the square of the fleet. Rendezvous hashing gives each node
 * about the same number of links, and moves few of them when a node joins or
 * leaves.
 */
export function chooseSubset<T extends LinkCandidate>(
  self: LinkCandidate,
  nodes: readonly T[],
  {total, local}: SubsetBounds,
): readonly T[] {
  if (nodes.length <= total) return nodes;
  const ranked = sortByWeight(self.node, nodes);
  const localNodes = ranked
    .filter((node) => isLocal(self, node))
    .slice(0, local);
  const remoteNodes = ranked.filter((node) => !isLocal(self, node));
  const chosenRemote = remoteNodes.slice(0, total - localNodes.length);
  const missing = total - localNodes.length - chosenRemote.length;
  const remainingLocal = ranked
    .filter((node) => isLocal(self, node))
    .slice(local);
  return [...localNodes, ...chosenRemote, ...remainingLocal.slice(0, missing)];
}

/**
 * Returns the next node in the circular order of names. Each node monitors its
 * successor even if it does not call it, so that every lost node is detected.
 */
export function findSuccessor<T extends Pick<LinkCandidate, 'node'>>(
  self: string,
  nodes: readonly T[],
): T | undefined {
  const others = nodes.filter(({node}) => node !== self);
  const later = others.filter(({node}) => node > self);
  const pool = later.length > 0 ? later : others;
  return pool.reduce<T | undefined>(
    (least, candidate) =>
      !least || candidate.node < least.node ? candidate : least,
    undefined,
  );
}

function isLocal(self: LinkCandidate, {dataCentre}: LinkCandidate): boolean {
  return dataCentre === self.dataCentre;
}

function sortByWeight<T extends LinkCandidate>(
  key: string,
  nodes: readonly T[],
): readonly T[] {
  return nodes
    .map((node) => ({node, weight: computeRendezvousWeight(key, node.node)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({node}) => node);
}
