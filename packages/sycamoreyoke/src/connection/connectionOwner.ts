/** Learns from the requests of a connection who has opened it. */

/** Calls with a matching deadline after which a connection is the upstream's. */
const TRUSTED_SCORE = 3;
/** Score at which a connection is the upstream's for good. */
const PROVEN_SCORE = 12;
/** A client's request matches by chance in less than a third of the cases. */
const MISMATCH_COST = 2;

/**
 * A connection on which a key was sent is a client's. One whose requests have
 * repeatedly stated the remaining time of a running request is the upstream's:
 * first as far as it goes on to do so, as a client's request can match by
 * chance, and after enough of them for good, as an upstream can slow down.
 */
export class ConnectionOwner {
  private hasKey = false;
  private score = 0;

  /** Records a request with a key, which upstreams never send. */
  recordKey(): void {
    this.hasKey = true;
  }

  /** Records a request without a key, and whether it fits a running request. */
  recordCall(isMatching: boolean): void {
    if (this.score >= PROVEN_SCORE) return;
    this.score = isMatching
      ? this.score + 1
      : Math.max(0, this.score - MISMATCH_COST);
  }

  /** Whether a client has opened the connection. */
  isClient(): boolean {
    return this.hasKey;
  }

  /** Whether the upstream has opened the connection, very probably. */
  isUpstream(): boolean {
    return !this.hasKey && this.score >= TRUSTED_SCORE;
  }
}
