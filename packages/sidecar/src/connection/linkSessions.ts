/** Finds the session of an origin that has dialled again. */
import type {Clock} from 'sycamoreyoke/clock';
import {RESUME_WAIT_MS} from '../constants.js';
import type {SessionLink} from './linkSession.js';
import {LinkSession} from './linkSession.js';
import {ResultRetention} from './resultRetention.js';

/** Owns the sessions of all accepted links. */
export class LinkSessions {
  private readonly sessions = new Map<string, LinkSession>();
  private readonly expiryTimers = new Map<LinkSession, NodeJS.Timeout>();
  private readonly retention: ResultRetention;
  private nextEpoch = 1;

  constructor(clock: Clock) {
    this.retention = new ResultRetention(clock);
  }

  /** Opens a session that ends with its link. */
  openAnonymous(link: SessionLink): LinkSession {
    const session = new LinkSession(0, undefined);
    session.link = link;
    return session;
  }

  /**
   * Opens the session of that name, or a new one. A link that it had before is
   * closed: what it has not delivered yet must not arrive any more.
   */
  open(name: string, link: SessionLink): LinkSession {
    const session =
      this.sessions.get(name) ??
      new LinkSession(this.nextEpoch++, this.retention);
    clearTimeout(this.expiryTimers.get(session));
    this.expiryTimers.delete(session);
    const former = session.link;
    session.link = link;
    this.sessions.set(name, session);
    former?.disconnect();
    return session;
  }

  /** Keeps a session without a link for a while; then cancels its calls. */
  release(name: string, session: LinkSession): void {
    session.link = undefined;
    this.retention.removeOldest();
    const timer = setTimeout(() => {
      this.expiryTimers.delete(session);
      this.sessions.delete(name);
      session.cancelAll();
    }, RESUME_WAIT_MS);
    this.expiryTimers.set(session, timer);
  }
}
