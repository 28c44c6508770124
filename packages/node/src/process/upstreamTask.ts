/** Handles crashes and restarts of the upstream beside the node. */
import type {CrashRegister} from 'sycamoreyoke/process/crashRegister';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {formatIdentity} from 'sycamoreyoke/types';
import type {LostExecutions} from './lostExecutions.js';
import type {RunningRequests} from './runningRequests.js';

/** Dependencies of an UpstreamTask. */
export interface UpstreamTaskParts {
  readonly incarnation: string;
  readonly crashRegister: CrashRegister;
  readonly lostExecutions: LostExecutions;
  readonly runningRequests: RunningRequests;
  readonly record: EventRecorder;
  /** Number of messages in which each crash suspect is sent to members. */
  readonly computeSuspectSends: () => number;
  readonly announceUp: (isUp: boolean) => void;
}

/** Records crashes of the upstream and announces its state to the service. */
export class UpstreamTask {
  private crashCount = 0;

  constructor(private readonly parts: UpstreamTaskParts) {}

  /** Called when the upstream stops or starts to accept connections. */
  handleChange(isUp: boolean): void {
    if (!isUp) this.recordCrash();
    this.parts.announceUp(isUp);
  }

  private recordCrash(): void {
    const {parts} = this;
    const runningIdentities = parts.runningRequests
      .list()
      .map(({identity}) => identity);
    const inFlight = [...parts.lostExecutions.take(), ...runningIdentities];
    parts.record(EventCode.UPSTREAM_CRASHED, {inFlight: inFlight.length});
    if (inFlight.length === 0) return;
    this.crashCount += 1;
    const crashId = `${parts.incarnation.slice(0, 32)}-${this.crashCount}`;
    const identities = inFlight.map(formatIdentity);
    parts.crashRegister.recordCrash(
      crashId,
      identities,
      parts.computeSuspectSends(),
    );
    for (const identity of inFlight) {
      parts.record(
        EventCode.REQUEST_SUSPECTED,
        {identity: formatIdentity(identity), crashId},
        identity.requestId,
      );
    }
  }
}
