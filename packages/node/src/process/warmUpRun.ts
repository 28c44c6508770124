/** Calls the own path until its code is compiled. */
import type {Server} from 'node:http';
import type {Container} from 'inversify';
import {EventCode} from 'sycamoreyoke/process/events';
import {WarmUp} from 'sycamoreyoke/process/warmUp';
import type {BuiltNode} from '../buildNode.js';
import {PARTS} from '../wiring.js';
import {getPort} from './listeners.js';

const TICK_MS = 50;

/**
 * Sends calls to the own public port. Until the node is announced they are
 * refused after their headers were read, so the upstream sees none of them.
 */
export async function runWarmUp(
  container: Container,
  node: BuiltNode,
  publicCalls: Server,
): Promise<void> {
  const settings = container.get(PARTS.settings);
  const {record} = container.get(PARTS.events);
  const clock = container.get(PARTS.clock);
  const [requestClass] = node.configuration.get().classes.keys();
  if (settings.warmUpCalls === 0 || requestClass === undefined) return;
  const origin = `http://${settings.address}:${getPort(publicCalls)}`;
  const pool = node.parts.connections.find(origin, true);
  const plan = new WarmUp(clock, settings.warmUpCalls);
  const startMs = clock.readMs();
  await new Promise<void>((resolve) => {
    const apply = ({sends, end}: ReturnType<WarmUp['start']>) => {
      if (end !== undefined) {
        clearInterval(timer);
        resolve();
      }
      for (let count = 0; count < sends; count += 1) void sendOne();
    };
    const sendOne = async () => {
      const isSuccess = await pool
        .request({
          path: '/',
          method: 'GET',
          headers: {'sycamoreyoke-class': requestClass},
        })
        .then(({body}) => body.dump())
        .then(
          () => true,
          () => false,
        );
      apply(plan.finishCall(isSuccess));
    };
    const timer = setInterval(() => apply(plan.tick()), TICK_MS);
    apply(plan.start());
  });
  node.parts.connections.remove(origin);
  const elapsedMs = Math.round(clock.readMs() - startMs);
  record(EventCode.NODE_WARMED, {calls: plan.countFinished(), elapsedMs});
}
