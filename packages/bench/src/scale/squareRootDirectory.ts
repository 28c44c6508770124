/**
 * Model of a two-hop directory, in which each member keeps a table whose size
 * grows with the square root of the number of members.
 */
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';

/** Contacts kept in each other group; the second is for when one is gone. */
const CONTACTS_PER_GROUP = 2;
/** Interval at which a member checks each of its table entries. */
const KEEPALIVE_MS = 1_000;
const ENTRY_BYTES = 130;

/** Costs and failure behaviour of the directory. */
export interface DirectoryFigures {
  /** Table entries of each member. */
  readonly entries: number;
  /** Table size of each member. */
  readonly stateBytes: number;
  /** Requests and responses that each member sends per second. */
  readonly messages: number;
  /** Bytes that each member sends per second. */
  readonly bytes: number;
  /** Time until all holders of an entry have missed two keepalives. */
  readonly staleSeconds: number;
  /** Share of lookups that fail right after a tenth of the members left. */
  readonly failedLookups: number;
}

/** Members on an identifier ring, divided into groups of neighbours. */
export class SquareRootDirectory {
  private readonly groupCount: number;
  private readonly contacts: number[][];

  constructor(
    private readonly members: number,
    private readonly random: Random,
  ) {
    this.groupCount = Math.max(1, Math.round(Math.sqrt(members)));
    this.contacts = Array.from({length: members}, (_, member) =>
      this.createContacts(member),
    );
  }

  /**
   * Computes the figures, the share of failed lookups by simulation.
   * @param bytesPerMessage content and framing of one keepalive message.
   * @param lookups number of simulated lookups.
   */
  measure(bytesPerMessage: number, lookups: number): DirectoryFigures {
    const groupSize = this.members / this.groupCount;
    const entries = groupSize - 1 + CONTACTS_PER_GROUP * (this.groupCount - 1);
    const messages = (2 * entries * 1_000) / KEEPALIVE_MS;
    return {
      entries,
      stateBytes: entries * ENTRY_BYTES,
      messages,
      bytes: messages * bytesPerMessage,
      staleSeconds: this.measureStaleSeconds(entries),
      failedLookups: this.countFailedLookups(lookups) / lookups,
    };
  }

  /**
   * Returns the longest time in seconds until a holder removes a departed member.
   * Holders check at random phases and remove an entry after two misses.
   */
  private measureStaleSeconds(entries: number): number {
    let longestMs = 0;
    for (let holder = 0; holder < entries; holder += 1) {
      const firstMissMs = this.random() * KEEPALIVE_MS;
      longestMs = Math.max(longestMs, firstMissMs + KEEPALIVE_MS);
    }
    return longestMs / 1_000;
  }

  /**
   * Counts failed lookups between live members, right after a tenth of the
   * members left and before any holder has noticed. A lookup fails if all
   * contacts in the target's group are gone.
   */
  private countFailedLookups(lookups: number): number {
    const departedMembers = new Set<number>();
    while (departedMembers.size < this.members / 10) {
      departedMembers.add(takeInteger(this.random, this.members));
    }
    let failures = 0;
    for (let lookup = 0; lookup < lookups; lookup += 1) {
      const sourceMember = this.chooseLive(departedMembers);
      const group = this.getGroup(this.chooseLive(departedMembers));
      if (group === this.getGroup(sourceMember)) continue;
      const contacts = this.contacts[sourceMember]?.slice(
        CONTACTS_PER_GROUP * group,
        CONTACTS_PER_GROUP * (group + 1),
      );
      if (contacts?.every((contact) => departedMembers.has(contact)))
        failures += 1;
    }
    return failures;
  }

  private chooseLive(departedMembers: ReadonlySet<number>): number {
    for (;;) {
      const member = takeInteger(this.random, this.members);
      if (!departedMembers.has(member)) return member;
    }
  }

  private getGroup(member: number): number {
    return Math.floor((member * this.groupCount) / this.members);
  }

  /**
   * Chooses contacts in all groups. Those in group g start at index
   * CONTACTS_PER_GROUP * g; for its own group the member itself stands in.
   */
  private createContacts(member: number): number[] {
    const groupSize = this.members / this.groupCount;
    return Array.from(
      {length: CONTACTS_PER_GROUP * this.groupCount},
      (_, index) => {
        const group = Math.floor(index / CONTACTS_PER_GROUP);
        if (group === this.getGroup(member)) return member;
        const start = Math.ceil(group * groupSize);
        return Math.min(
          this.members - 1,
          start + takeInteger(this.random, Math.floor(groupSize)),
        );
      },
    );
  }
}
