/** Decides whether a request without a key is a call of the upstream. */
import type {PossibleCall} from 'sycamoreyoke/process/callParents';
import {ParentEvidence} from 'sycamoreyoke/process/callParents';
import type {ClientExchange} from '../connection/clientExchange.js';
import type {ChildCalls} from '../process/childCalls.js';
import type {ParentCall, ParentRequest} from '../process/parentCall.js';
import {CallDoubt, isCallEvidence} from '../process/parentCall.js';

/** The methods of the child calls that the origin uses. */
export type ChildCallLookup = Pick<
  ChildCalls,
  'findParent' | 'start' | 'findDoubt'
>;

/** Where a request and its connection come from, as its head shows. */
export class CallOrigin {
  /** What a call would state; undefined for a client's request. */
  private readonly possibleCall: PossibleCall | undefined;
  /** Whether the connection is the upstream's, which then may be late. */
  private readonly isTrusted: boolean;
  /** The parent that is inferred when the head is read. */
  readonly parent: ParentRequest | undefined;

  constructor(
    private readonly exchange: ClientExchange,
    leftMs: number,
    private readonly childCalls: ChildCallLookup,
  ) {
    const {owner, arrivedMs, readMs} = exchange;
    this.isTrusted = owner.isUpstream();
    if (owner.isClient()) return;
    this.possibleCall = {earliestMs: arrivedMs, latestMs: readMs, leftMs};
    this.parent = childCalls.findParent(this.possibleCall, this.isTrusted);
  }

  /** Whether the request is a call of the upstream, not a client's. */
  isUpstreamCall(): boolean {
    return this.parent !== undefined && isCallEvidence(this.parent.evidence);
  }

  /**
   * Finds why a request that is not shown to be a call may still be one;
   * undefined if it is shown to be one, or can only be a client's.
   */
  findDoubt(): CallDoubt | undefined {
    const {possibleCall} = this;
    if (!possibleCall || this.isUpstreamCall()) return undefined;
    const doubt = this.childCalls.findDoubt(possibleCall);
    return doubt ?? (this.isTrusted ? CallDoubt.NO_PARENT : undefined);
  }

  /** Records what the request shows of the owner of its connection. */
  recordOwner(): void {
    if (!this.possibleCall) return;
    const isMatching = this.parent?.evidence === ParentEvidence.DEADLINE;
    this.exchange.owner.recordCall(isMatching);
  }

  /** Records a call of the upstream as open until it is answered. */
  startCall(): ParentCall | undefined {
    const parent =
      this.possibleCall &&
      this.childCalls.start(this.possibleCall, this.isTrusted);
    if (parent) this.exchange.handleClose(() => parent.finish());
    return parent;
  }
}
