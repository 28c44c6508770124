/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.1;
/** Weight of a new result in the share of failures. */
const FAILURE_WEIGHT = 0.1;
/** Period in which the share of failures halves while nothing is sent. */
const FAILURE_HALVING_MS = 500;
/** Lowest share of successes that the expected wait is divided by. */
const LOWEST_SUCCESS_SHARE = 0.05;

/** Own observations of one member. */
export interface MemberLoad {
  readonly firstSeenMs: number;
  inFlight: number;
  latencyMs: number;
  failureShare: number;
  observedMs: number;
}

export function createLoad(nowMs: number): MemberLoad {
  return {
    firstSeenMs: nowMs,
    inFlight: 0,
    latencyMs: 0,
    failureShare: 0,
    observedMs: nowMs,
  };
}

/** Takes note of a finished call. */
export function applyResult(
  load: MemberLoad,
  latencyMs: number,
  failed: boolean,
  nowMs: number,
): void {
  load.inFlight = Math.max(0, load.inFlight - 1);
  const share = computeFailureShare(load, nowMs);
  load.failureShare = share + FAILURE_WEIGHT * ((failed ? 1 : 0) - share);
  load.observedMs = nowMs;
  // A refusal is fast; its latency would make the member look idle.
  if (failed) return;
  load.latencyMs =
    load.latencyMs === 0
      ? latencyMs
      : load.latencyMs + LATENCY_WEIGHT * (latencyMs - load.latencyMs);
}

/** Expected time until a further call succeeds. */
export function computeExpectedWaitMs(
  load: MemberLoad,
  weight: number,
  defaultLatencyMs: number,
  nowMs: number,
): number {
  const latencyMs = load.latencyMs || defaultLatencyMs;
  const successShare = Math.max(
    1 - computeFailureShare(load, nowMs),
    LOWEST_SUCCESS_SHARE,
  );
  return (
    (latencyMs * (load.inFlight + 1)) / (Math.max(weight, 1) * successShare)
  );
}

function computeFailureShare(load: MemberLoad, nowMs: number): number {
  const idleMs = nowMs - load.observedMs;
  return load.failureShare * 0.5 ** (idleMs / FAILURE_HALVING_MS);
}
