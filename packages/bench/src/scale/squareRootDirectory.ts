/** Two-hop directory with tables of about the square root of the members. */
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';

/** Contacts kept in each other group, so that one may be gone. */
const CONTACTS = 2;
/** Each table entry is checked this often. */
const KEEPALIVE_MS = 1_000;
const ENTRY_BYTES = 130;

export interface DirectoryFigures {
  readonly entries: number;
  readonly stateBytes: number;
  /** Each second and node, requests and responses, sent. */
  readonly messages: number;
  readonly bytes: number;
  /** Until the last holder of an entry has missed two keepalives. */
  readonly staleSeconds: number;
  /** Share of lookups that fail right after a tenth has left. */
  readonly failedLookups: number;
}

/** Members on an identifier ring, in groups of neighbours. */
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

  /** @param bytesPerMessage content and framing of a keepalive, one way. */
  measure(bytesPerMessage: number, lookups: number): DirectoryFigures {
    const groupSize = this.members / this.groupCount;
    const entries = groupSize - 1 + CONTACTS * (this.groupCount - 1);
    const messages = (2 * entries * 1_000) / KEEPALIVE_MS;
    return {
      entries,
      stateBytes: entries * ENTRY_BYTES,
      messages,
      bytes: messages * bytesPerMessage,
      staleSeconds: this.measureStaleness(entries),
      failedLookups: this.countFailures(lookups) / lookups,
    };
  }

  /** Holders check at random phases; two misses end an entry. */
  private measureStaleness(entries: number): number {
    let worstMs = 0;
    for (let holder = 0; holder < entries; holder += 1) {
      const firstMissMs = this.random() * KEEPALIVE_MS;
      worstMs = Math.max(worstMs, firstMissMs + KEEPALIVE_MS);
    }
    return worstMs / 1_000;
  }

  /** Lookups of live members before any holder has noticed. */
  private countFailures(lookups: number): number {
    const gone = new Set<number>();
    while (gone.size < this.members / 10) {
      gone.add(takeInteger(this.random, this.members));
    }
    let failures = 0;
    for (let lookup = 0; lookup < lookups; lookup += 1) {
      const asker = this.chooseLive(gone);
      const group = this.getGroup(this.chooseLive(gone));
      if (group === this.getGroup(asker)) continue;
      const contacts = this.contacts[asker]?.slice(
        CONTACTS * group,
        CONTACTS * (group + 1),
      );
      if (contacts?.every((contact) => gone.has(contact))) failures += 1;
    }
    return failures;
  }

  private chooseLive(gone: ReadonlySet<number>): number {
    for (;;) {
      const member = takeInteger(this.random, this.members);
      if (!gone.has(member)) return member;
    }
  }

  private getGroup(member: number): number {
    return Math.floor((member * this.groupCount) / this.members);
  }

  /** Contacts of all groups, those of group g from CONTACTS * g on. */
  private createContacts(member: number): number[] {
    const size = this.members / this.groupCount;
    return Array.from({length: CONTACTS * this.groupCount}, (_, index) => {
      const group = Math.floor(index / CONTACTS);
      if (group === this.getGroup(member)) return member;
      const start = Math.ceil(group * size);
      return Math.min(
        this.members - 1,
        start + takeInteger(this.random, Math.floor(size)),
      );
    });
  }
}
