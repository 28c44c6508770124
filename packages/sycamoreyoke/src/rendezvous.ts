/**
 * Rendezvous (highest random weight) hashing: processes that know the same
 * members choose the same member for a key.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Computes the weight of a member for a key, a 32-bit unsigned integer. */
export function computeRendezvousWeight(key: string, member: string): number {
  const text = `${key}\u0000${member}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone leaves the high bits of short, similar names correlated, so
  // the final mixing steps of MurmurHash3 follow.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the member with the highest weight for the key, or undefined if there
 * are no members. Of equal weights, the greater name wins.
 */
export function chooseByRendezvous(
  key: string,
  members: Iterable<string>,
): string | undefined {
  let bestMember: string | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = computeRendezvousWeight(key, member);
    const isTieWon =
      weight === bestWeight && bestMember !== undefined && member > bestMember;
    if (weight > bestWeight || isTieWon) {
      bestMember = member;
      bestWeight = weight;
    }
  }
  return bestMember;
}
