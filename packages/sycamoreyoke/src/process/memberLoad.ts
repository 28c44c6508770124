/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.1;
/** Weight of a new result in the failure rate. */
const FAILURE_RATE_WEIGHT = 0.1;
/** Half-life of the failure rate while no calls finish. */
const FAILURE_HALF_LIFE_MS = 500;
/** Lower bound of the success rate by which the expected wait is divided. */
const MIN_SUCCESS_RATE = 0.05;

/** Load and latency of one member as observed by this process. */
export interface MemberLoad {
  readonly firstSeenMs: number;
  inFlight: number;
  latencyMs: number;
  failureRate: number;
  lastResultMs: number;
}

export function createLoad(nowMs: number): MemberLoad {
  return {
    firstSeenMs: nowMs,
    inFlight: 0,
    latencyMs: 0,
    failureRate: 0,
    lastResultMs: nowMs,
  };
}

/** Records a finished call. */
export function applyResult(
  load: MemberLoad,
  latencyMs: number,
  failed: boolean,
  nowMs: number,
): void {
  load.inFlight = Math.max(0, load.inFlight - 1);
  const share = computeFailureRate(load, nowMs);
  load.failureRate = share + FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - share);
  load.lastResultMs = nowMs;
  // A refusal is fast, so its latency would make the member look idle.
  if (failed) return;
  load.latencyMs =
    load.latencyMs === 0
      ? latencyMs
      : load.latencyMs + LATENCY_WEIGHT * (latencyMs - load.latencyMs);
}

/** Returns the expected time until one more call succeeds, ms. */
export function computeExpectedWaitMs(
  load: MemberLoad,
  weight: number,
  defaultLatencyMs: number,
  nowMs: number,
): number {
  const latencyMs = load.latencyMs || defaultLatencyMs;
  const successRate = Math.max(
    1 - computeFailureRate(load, nowMs),
    MIN_SUCCESS_RATE,
  );
  return (
    (latencyMs * (load.inFlight + 1)) / (Math.max(weight, 1) * successRate)
  );
}

function computeFailureRate(load: MemberLoad, nowMs: number): number {
  const idleMs = nowMs - load.lastResultMs;
  return load.failureRate * 0.5 ** (idleMs / FAILURE_HALF_LIFE_MS);
}
