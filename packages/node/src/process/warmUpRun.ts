/** Warms up the call path of the node, until V8 has compiled its code. */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {Clock} from 'sycamoreyoke/clock';
import {CrashRegister} from 'sycamoreyoke/process/crashRegister';
import {Drain} from 'sycamoreyoke/process/drain';
import {EventCode} from 'sycamoreyoke/process/events';
import {AdaptiveGate} from 'sycamoreyoke/process/gate';
import {RECOVERY_PARAMETERS} from 'sycamoreyoke/process/gateParameters';
import {createDefaultLimiter} from 'sycamoreyoke/process/limiter';
import {Metrics} from 'sycamoreyoke/process/metrics';
import {WARM_UP_CONCURRENCY, WarmUp} from 'sycamoreyoke/process/warmUp';
import {RepeatGuard} from 'sycamoreyoke/types';
import type {Dispatcher} from 'undici';
import type {BuiltNode} from '../buildNode.js';
import {handleCall} from '../request/callHandler.js';
import {CallOrigin} from '../request/types.js';
import {DrainTask} from './drainTask.js';
import {GateTask} from './gateTask.js';
import {Lifecycle, LifecycleState} from './lifecycle.js';
import {closeListener, getPort, openCallListener} from './listeners.js';
import type {NodeParts} from './nodeParts.js';

const TICK_MS = 50;
const LOOPBACK = '127.0.0.1';

/**
 * Sends calls over loopback through the call handler to an echo server in place
 * of the upstream. The handler gets separate gate, metrics, drain and lifecycle
 * objects, so that the warm-up leaves no trace in those that serve real calls.
 * Does nothing when `calls` is 0 or the service has no unguarded class.
 */
export async function runWarmUp(node: BuiltNode, calls: number): Promise<void> {
  const {clock, record, callConnections} = node.parts;
  const requestClass = findWarmUpClass(node.parts);
  if (calls === 0 || requestClass === undefined) return;
  const echoServer = await openEchoServer();
  const echoOrigin = formatLoopbackOrigin(echoServer);
  const parts = buildWarmUpParts(node.parts, echoOrigin);
  const callListener = await openCallListener(
    (request, response) =>
      handleCall(parts, CallOrigin.PEER, request, response),
    0,
    LOOPBACK,
  );
  const origin = formatLoopbackOrigin(callListener);
  const pool = callConnections.find(origin, true);
  const startMs = clock.readMs();
  const count = await sendCalls(pool, clock, calls, requestClass);
  callConnections.remove(origin);
  callConnections.remove(echoOrigin);
  await Promise.all([closeListener(callListener), closeListener(echoServer)]);
  const elapsedMs = Math.round(clock.readMs() - startMs);
  record(EventCode.NODE_WARMED, {calls: count, elapsedMs});
}

/** Finds a class of this service without a repeat guard. */
function findWarmUpClass(parts: NodeParts): string | undefined {
  const classes = [...parts.configuration.get().classes.values()];
  return classes.find(
    ({definition}) =>
      definition.service === parts.service &&
      definition.guard === RepeatGuard.NONE,
  )?.definition.name;
}

function buildWarmUpParts(parts: NodeParts, upstreamOrigin: string): NodeParts {
  const {clock, report} = parts;
  const lifecycle = new Lifecycle();
  lifecycle.set(LifecycleState.ACTIVE);
  const gate = new AdaptiveGate({
    clock,
    report,
    limiter: createDefaultLimiter(WARM_UP_CONCURRENCY),
    parameters: RECOVERY_PARAMETERS,
  });
  return {
    ...parts,
    upstreamOrigin,
    lifecycle,
    gate: new GateTask(gate, clock),
    crashRegister: new CrashRegister(clock),
    drain: new DrainTask(new Drain(clock, report), {
      announceLeaving: () => undefined,
      refuse: () => undefined,
    }),
    metrics: new Metrics(),
    record: () => undefined,
    observeWork: () => undefined,
  };
}

function openEchoServer(): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, {'content-length': 2}).end('ok');
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

function formatLoopbackOrigin(server: Server): string {
  return `http://${LOOPBACK}:${getPort(server)}`;
}

/** Resolves with the number of finished calls. */
function sendCalls(
  pool: Dispatcher,
  clock: Clock,
  calls: number,
  requestClass: string,
): Promise<number> {
  const warmUp = new WarmUp(clock, calls);
  const sendWarmUpCall = () =>
    pool
      .request({
        path: '/',
        method: 'GET',
        headers: {
          'sycamoreyoke-class': requestClass,
          'sycamoreyoke-root-id': 'warm-up/0',
        },
      })
      .then(({statusCode, body}) => body.dump().then(() => statusCode < 400))
      .catch(() => false);
  return new Promise((resolve) => {
    const apply = ({sends, end}: ReturnType<WarmUp['start']>) => {
      if (end !== undefined) {
        clearInterval(timer);
        resolve(warmUp.countFinished());
      }
      for (let count = 0; count < sends; count += 1) {
        void sendWarmUpCall().then((isSuccess) =>
          apply(warmUp.finishCall(isSuccess)),
        );
      }
    };
    const timer = setInterval(() => apply(warmUp.tick()), TICK_MS);
    apply(warmUp.start());
  });
}
