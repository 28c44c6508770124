/** Chooses the owner of the retry ledger of a request by rendezvous hashing. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a string. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Combines two hashes and spreads the bits with the MurmurHash3 finalizer. */
function hashPair(memberHash: number, keyHash: number): number {
  let mixed = memberHash ^ Math.imul(keyHash, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** A member with its precomputed hash. */
export interface HashedMember {
  readonly incarnation: string;
  readonly hash: number;
}

/** Prepares a member for chooseLedgerOwner. */
export function buildHashedMember(incarnation: string): HashedMember {
  return {incarnation, hash: hashText(incarnation)};
}

/** Returns the member with the highest hash for a key; ties go by name. */
export function chooseLedgerOwner(
  members: Iterable<HashedMember>,
  key: string,
): string | undefined {
  const keyHash = hashText(key);
  let best: HashedMember | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = hashPair(member.hash, keyHash);
    const isHigher =
      weight > bestWeight ||
      (weight === bestWeight && member.incarnation > (best?.incarnation ?? ''));
    if (!isHigher) continue;
    best = member;
    bestWeight = weight;
  }
  return best?.incarnation;
}
