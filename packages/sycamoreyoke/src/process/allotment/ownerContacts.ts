/**
 * Decides whether a node of the owner set may lend the tokens of an account, so
 * that no two nodes lend them at a time, whichever nodes can reach each other.
 *
 * The nodes of the set contact each other. A node lends while more than half of
 * the nodes that are not gone have answered its contacts for a lease, and while
 * as many have not heard from each owner ahead of it for the takeover time. Two
 * such majorities share a node, and a node that answers an owner has heard it.
 */
import {
  CONTACT_LEASE_MS,
  GONE_MS,
  HANDBACK_MS,
  START_GRACE_MS,
  TAKEOVER_MS,
} from './constants.js';

interface Contact {
  /** When an ask of the node was last received. */
  heardMs: number;
  /** When the latest contact that the node has answered was sent. */
  answeredMs: number;
  /** Since when the node has answered without a gap of a lease. */
  answeringSinceMs: number;
  /** Nodes of the set from which the node had not heard when it answered. */
  unheard: ReadonlySet<string>;
  /**
   * When the process was last found gone, or of a version without allotments. A
   * node that is back counts once it has answered for a lease: otherwise its
   * start would take the majority from the others.
   */
  goneMs: number;
  /** Since when the node is absent, if it is. */
  absentSinceMs: number | undefined;
  /** Since when an absent node is back, if it is. */
  backSinceMs: number | undefined;
}

/** What a node of the owner set knows of the others. */
export class OwnerContacts {
  private contacts = new Map<string, Contact>();
  private majoritySinceMs: number | undefined;

  constructor(private readonly self: string) {}

  /** Sets the nodes of the owner set. */
  update(nowMs: number, owners: readonly string[]): void {
    const others = owners.filter((owner) => owner !== this.self);
    this.contacts = new Map(
      others.map((owner) => [
        owner,
        this.contacts.get(owner) ?? createContact(nowMs),
      ]),
    );
    this.refresh(nowMs);
  }

  recordAsk(nowMs: number, from: string): void {
    const contact = this.contacts.get(from);
    if (contact) contact.heardMs = nowMs;
  }

  recordAnswer(
    nowMs: number,
    from: string,
    sentMs: number,
    unheard: Iterable<string>,
  ): void {
    const contact = this.contacts.get(from);
    if (!contact || sentMs < contact.answeredMs) return;
    if (!isAnswering(contact, nowMs)) contact.answeringSinceMs = nowMs;
    contact.answeredMs = sentMs;
    contact.unheard = new Set(unheard);
  }

  /** Records that the process of a node is gone, or has no allotments. */
  recordGone(nowMs: number, node: string): void {
    const contact = this.contacts.get(node);
    if (!contact) return;
    contact.goneMs = nowMs;
    contact.heardMs = -Infinity;
    contact.answeredMs = -Infinity;
  }

  /** Whether a node of the set is absent, as of the last refresh. */
  hasAbsent(): boolean {
    return [...this.contacts.values()].some(
      ({absentSinceMs}) => absentSinceMs !== undefined,
    );
  }

  /** Lists the nodes of the set from which this one has not heard. */
  listUnheard(nowMs: number): readonly string[] {
    return [...this.contacts]
      .filter(([, contact]) => !hasHeard(contact, nowMs))
      .map(([owner]) => owner);
  }

  /**
   * Returns since when this node lends accounts with an order of owners, or
   * undefined if it does not, as of the last refresh.
   */
  computeLendingSince(order: readonly string[]): number | undefined {
    const index = order.indexOf(this.self);
    if (index < 0 || this.majoritySinceMs === undefined) return undefined;
    let sinceMs = this.majoritySinceMs;
    for (const owner of order.slice(0, index)) {
      const absentMs = this.contacts.get(owner)?.absentSinceMs;
      if (absentMs === undefined) return undefined;
      sinceMs = Math.max(sinceMs, absentMs);
    }
    return sinceMs;
  }

  /** Updates since when the conditions of lending hold. */
  refresh(nowMs: number): void {
    const contacts = [...this.contacts.values()];
    for (const contact of contacts) {
      if (isSteady(contact, nowMs)) contact.goneMs = -Infinity;
    }
    const live = contacts.filter((contact) => !isGone(contact, nowMs));
    const isMajority = (votes: number) => 2 * votes > live.length + 1;
    const steady = live.filter((contact) => isSteady(contact, nowMs));
    const hasMajority = isMajority(steady.length + 1);
    if (hasMajority) this.majoritySinceMs ??= nowMs;
    else this.majoritySinceMs = undefined;
    const answering = live.filter((contact) => isAnswering(contact, nowMs));
    for (const [owner, contact] of this.contacts) {
      const votes = answering.filter(
        (other) => other !== contact && other.unheard.has(owner),
      ).length;
      const isAbsent =
        !hasHeard(contact, nowMs) &&
        (isGone(contact, nowMs) || isMajority(votes + 1));
      updateAbsence(contact, nowMs, isAbsent);
    }
  }
}

function createContact(nowMs: number): Contact {
  return {
    heardMs: nowMs + START_GRACE_MS - TAKEOVER_MS,
    answeredMs: -Infinity,
    answeringSinceMs: Infinity,
    unheard: new Set<string>(),
    goneMs: -Infinity,
    absentSinceMs: undefined,
    backSinceMs: undefined,
  };
}

/** An owner that is back lends after a lease; until then this node continues. */
function updateAbsence(
  contact: Contact,
  nowMs: number,
  isAbsent: boolean,
): void {
  if (isAbsent) {
    contact.absentSinceMs ??= nowMs;
    contact.backSinceMs = undefined;
    return;
  }
  if (contact.absentSinceMs === undefined) return;
  contact.backSinceMs ??= nowMs;
  if (nowMs - contact.backSinceMs < HANDBACK_MS) return;
  contact.absentSinceMs = undefined;
  contact.backSinceMs = undefined;
}

function isGone({goneMs}: Contact, nowMs: number): boolean {
  return nowMs - goneMs < GONE_MS;
}

function hasHeard({heardMs}: Contact, nowMs: number): boolean {
  return nowMs - heardMs < TAKEOVER_MS;
}

function isAnswering({answeredMs}: Contact, nowMs: number): boolean {
  return nowMs - answeredMs < CONTACT_LEASE_MS;
}

/**
 * Whether the node has answered for a lease. Before that, another node may
 * still rely on an answer in which it had not heard from this one.
 */
function isSteady(contact: Contact, nowMs: number): boolean {
  return (
    isAnswering(contact, nowMs) &&
    nowMs - contact.answeringSinceMs >= CONTACT_LEASE_MS
  );
}
