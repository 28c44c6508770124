/** Updates that travel on other messages, each a bounded number of times. */
import {MAX_UPDATE_BYTES, URGENT_SENDS} from './constants.js';
import type {MemberUpdate} from './membershipMessages.js';

/** Encoded size of an update without its strings, rounded up. */
const UPDATE_BYTES = 26;
const RECORD_BYTES = 70;

/** Times that each update is sent by a node of a service of this size. */
export function computeSendLimit(members: number): number {
  return Math.ceil(3 * Math.log2(members + 1));
}

/** Upper bound for the encoded size of an update. */
export function computeUpdateBytes(update: MemberUpdate): number {
  const {observer, record} = update;
  const bytes = UPDATE_BYTES + observer.length;
  if (!record) return bytes;
  const {service, address, dataCentre, region} = record;
  const strings = [service, address, dataCentre, region].join('').length;
  return bytes + RECORD_BYTES + strings;
}

/** Joins travel on probes only: a late one delays no call. */
function isUrgent(update: MemberUpdate): boolean {
  return update.record === undefined;
}

/** Updates by how often they have been sent. */
export class Dissemination {
  private levels: Array<Map<string, MemberUpdate>> = [];
  private readonly levelOf = new Map<string, number>();

  /** Replaces what was being sent about the member. */
  add(update: MemberUpdate): void {
    this.remove(update.incarnation);
    this.set(update, 0);
  }

  /** Updates for one message, the least sent first. */
  takeUpdates(members: number, maxBytes = MAX_UPDATE_BYTES): MemberUpdate[] {
    if (this.levelOf.size === 0) return [];
    const taken = this.chooseUpdates(maxBytes);
    const limit = computeSendLimit(members);
    for (const update of taken) {
      const sent = (this.levelOf.get(update.incarnation) ?? 0) + 1;
      this.remove(update.incarnation);
      if (sent < limit) this.set(update, sent);
    }
    return taken;
  }

  /** There is news that callers of the service should not wait for. */
  hasUrgent(): boolean {
    for (const level of this.levels.slice(0, URGENT_SENDS)) {
      for (const update of level.values()) {
        if (isUrgent(update)) return true;
      }
    }
    return false;
  }

  /** Nothing is being sent. */
  isEmpty(): boolean {
    return this.levelOf.size === 0;
  }

  private chooseUpdates(maxBytes: number): MemberUpdate[] {
    const chosen: MemberUpdate[] = [];
    let bytes = 0;
    for (const level of this.levels) {
      for (const update of level.values()) {
        bytes += computeUpdateBytes(update);
        if (bytes > maxBytes) return chosen;
        chosen.push(update);
      }
    }
    return chosen;
  }

  private set(update: MemberUpdate, sent: number): void {
    while (this.levels.length <= sent) this.levels.push(new Map());
    this.levels[sent]?.set(update.incarnation, update);
    this.levelOf.set(update.incarnation, sent);
  }

  private remove(incarnation: string): void {
    const level = this.levelOf.get(incarnation);
    if (level === undefined) return;
    this.levels[level]?.delete(incarnation);
    this.levelOf.delete(incarnation);
  }
}
