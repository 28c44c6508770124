/** Rendezvous hashing: every process that knows the same members agrees. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Weight of a member for a key; a 32-bit unsigned integer. */
export function computeRendezvousWeight(key: string, member: string): number {
  const text = `${key}\u0000${member}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone leaves the high bits of short, similar names correlated.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The member with the highest weight; equal weights go by name. */
export function chooseByRendezvous(
  key: string,
  members: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = computeRendezvousWeight(key, member);
    const isTieWon =
      weight === bestWeight && best !== undefined && member > best;
    if (weight > bestWeight || isTieWon) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}
