/** Piggybacks membership updates on other messages, as in SWIM. */
import {MAX_UPDATE_BYTES, URGENT_SEND_LIMIT} from './constants.js';
import type {MemberUpdate} from './membershipMessages.js';

/** Upper bounds of the encoded sizes without strings, in bytes. */
const FIXED_UPDATE_BYTES = 26;
const FIXED_RECORD_BYTES = 70;

/** How often a node sends each update, in a service of this size. */
export function computeSendLimit(members: number): number {
  return Math.ceil(3 * Math.log2(members + 1));
}

/** Computes an upper bound of the encoded size of an update, in bytes. */
export function computeUpdateBytes(update: MemberUpdate): number {
  const {observer, record} = update;
  const bytes = FIXED_UPDATE_BYTES + observer.length;
  if (!record) return bytes;
  const {service, address, dataCentre, region} = record;
  const strings = [service, address, dataCentre, region].join('').length;
  return bytes + FIXED_RECORD_BYTES + strings;
}

/**
 * Whether an update must not wait for the next probe. Joins are not urgent: a
 * member that is learned late delays no call.
 */
function isUrgent(update: MemberUpdate): boolean {
  return update.record === undefined;
}

/** Queues membership updates, each for a bounded number of sends. */
export class Dissemination {
  /** Updates by incarnation; the index is the number of sends so far. */
  private updatesBySends: Array<Map<string, MemberUpdate>> = [];
  private readonly sendsByIncarnation = new Map<string, number>();

  /** Queues an update in place of the previous one about the member. */
  add(update: MemberUpdate): void {
    this.remove(update.incarnation);
    this.set(update, 0);
  }

  /**
   * Takes updates for one message, those sent least often first. `members` is
   * the size of the service.
   */
  takeUpdates(members: number, maxBytes = MAX_UPDATE_BYTES): MemberUpdate[] {
    if (this.sendsByIncarnation.size === 0) return [];
    const taken = this.chooseUpdates(maxBytes);
    const limit = computeSendLimit(members);
    for (const update of taken) {
      const sent = (this.sendsByIncarnation.get(update.incarnation) ?? 0) + 1;
      this.remove(update.incarnation);
      if (sent < limit) this.set(update, sent);
    }
    return taken;
  }

  /** Whether an urgent update is below URGENT_SEND_LIMIT sends. */
  hasUrgentUpdates(): boolean {
    for (const updates of this.updatesBySends.slice(0, URGENT_SEND_LIMIT)) {
      for (const update of updates.values()) {
        if (isUrgent(update)) return true;
      }
    }
    return false;
  }

  /** Whether no update is queued. */
  isEmpty(): boolean {
    return this.sendsByIncarnation.size === 0;
  }

  private chooseUpdates(maxBytes: number): MemberUpdate[] {
    const chosen: MemberUpdate[] = [];
    let bytes = 0;
    for (const updates of this.updatesBySends) {
      for (const update of updates.values()) {
        bytes += computeUpdateBytes(update);
        if (bytes > maxBytes) return chosen;
        chosen.push(update);
      }
    }
    return chosen;
  }

  private set(update: MemberUpdate, sent: number): void {
    while (this.updatesBySends.length <= sent)
      this.updatesBySends.push(new Map());
    this.updatesBySends[sent]?.set(update.incarnation, update);
    this.sendsByIncarnation.set(update.incarnation, sent);
  }

  private remove(incarnation: string): void {
    const sends = this.sendsByIncarnation.get(incarnation);
    if (sends === undefined) return;
    this.updatesBySends[sends]?.delete(incarnation);
    this.sendsByIncarnation.delete(incarnation);
  }
}
