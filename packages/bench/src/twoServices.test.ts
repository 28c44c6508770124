import {setTimeout as wait} from 'node:timers/promises';
import {SycamoreyokeCaller} from '@sycamoreyoke/caller/caller';
import type {Execution} from '@sycamoreyoke/standins/upstream/executions';
import {expect} from 'chai';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import {Outcome, RepeatGuard} from 'sycamoreyoke/types';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {ImportanceName, Lean, ObjectKind} from 'sycamoreyoke/version/types';
import {request} from 'undici';
import type {FleetMember, InProcessFleet} from './fleet/inProcessFleet.js';
import {createCaller, startInProcessFleet} from './fleet/inProcessFleet.js';

const POLL_MS = 50;
/** With two nodes, all go to one by chance in less than 1 of 10,000 runs. */
const RESENDS = 15;

const COMMON = {
  kind: ObjectKind.REQUEST_CLASS,
  importance: ImportanceName.CRITICAL,
  retryLimit: 'none',
  timeoutMs: 5_000,
} as const;

const OBJECTS: readonly ConfigurationObject[] = [
  {kind: ObjectKind.POLICY, name: 'p', lean: Lean.RECOVERY, queueLimit: 100},
  {kind: ObjectKind.SERVICE, name: 'tracking', policy: 'p'},
  {kind: ObjectKind.SERVICE, name: 'bookings', policy: 'p'},
  {
    kind: ObjectKind.RETRY_LIMIT,
    name: 'none',
    perRequest: 0,
    shareOfTraffic: 0.1,
    backoffBaseMs: 20,
    backoffMaxMs: 200,
  },
  {
    ...COMMON,
    name: 'read',
    service: 'bookings',
    idempotent: true,
    guard: RepeatGuard.NONE,
  },
  {
    ...COMMON,
    name: 'book',
    service: 'bookings',
    idempotent: false,
    guard: RepeatGuard.PIN,
  },
  createCaller('desk', ['read', 'book'], true),
  createCaller('site', ['read'], false),
];

let sharedFixture: Promise<InProcessFleet> | undefined;

function getFleet(): Promise<InProcessFleet> {
  const services = ['tracking', 'bookings', 'bookings'];
  sharedFixture ??= startInProcessFleet(OBJECTS, services, 5);
  return sharedFixture;
}

describe('two services', () => {
  after(async () => {
    await (await sharedFixture)?.stop();
  });

  function formatPublicUrl({node}: FleetMember): string {
    return `http://127.0.0.1:${node.self.publicPort}`;
  }

  async function readEvents({node}: FleetMember): Promise<TimelineEvent[]> {
    const url = `http://127.0.0.1:${node.self.adminPort}/events`;
    const response = await request(url);
    return ((await response.body.json()) as {events: TimelineEvent[]}).events;
  }

  /** Waits until the directory of each member lists all members. */
  async function waitForMembers(
    members: readonly FleetMember[],
  ): Promise<void> {
    for (const member of members) {
      for (;;) {
        const response = await request(formatDirectoryUrl(member), {
          headers: {
            'sycamoreyoke-class': 'book',
            'sycamoreyoke-caller': 'desk',
            authorization: 'Bearer of-desk',
          },
        });
        const entry = (await response.body.json()) as {members: Member[]};
        if (entry.members.length >= members.length) break;
        await wait(POLL_MS);
      }
    }
  }

  function formatDirectoryUrl(member: FleetMember): string {
    return `${formatPublicUrl(member)}/.well-known/sycamoreyoke/directory`;
  }

  async function countExecutions(
    members: readonly FleetMember[],
    requestId: string,
  ): Promise<number> {
    const lists = await Promise.all(
      members.map(async ({upstreamUrl}) => {
        const response = await request(`${upstreamUrl}/stand-in/executions`);
        return (await response.body.json()) as {executions: Execution[]};
      }),
    );
    return lists
      .flatMap(({executions}) => executions)
      .filter((execution) => execution.requestId === requestId)
      .reduce((sum, {started}) => sum + started, 0);
  }

  async function findMembers(service: string): Promise<FleetMember[]> {
    const {members} = await getFleet();
    return members.filter((member) => member.service === service);
  }

  // Guards against a caller that impersonates another one with the root id
  // header, which only nodes may set.
  it('two services: a forged root id does not change the caller', async () => {
    const [tracking] = await findMembers('tracking');
    const bookingMembers = await findMembers('bookings');
    if (!tracking) throw new Error('no member of tracking');
    const response = await request(formatPublicUrl(tracking), {
      headers: {
        'sycamoreyoke-class': 'read',
        'sycamoreyoke-request-id': 'forged-1',
        'sycamoreyoke-root-id': 'desk/forged-1',
        'sycamoreyoke-caller': 'site',
        authorization: 'Bearer of-site',
      },
    });
    await response.body.dump();
    expect(response.statusCode).to.equal(200);
    const events = (await Promise.all(bookingMembers.map(readEvents))).flat();
    const admitted = events.filter(
      ({code, requestId}) =>
        code === EventCode.REQUEST_ADMITTED && requestId === 'forged-1',
    );
    expect(admitted.map(({details}) => details['caller'])).to.deep.equal([
      'site',
    ]);
  });

  // Guards against a booking that runs again on another node when the
  // application sends it again under the same request id.
  it('two services: a resent booking does not run again', async () => {
    const bookingMembers = await findMembers('bookings');
    await waitForMembers(bookingMembers);
    const caller = new SycamoreyokeCaller({
      caller: 'desk',
      token: 'of-desk',
      entries: bookingMembers.map(formatPublicUrl),
      dataCentre: 'oviedo',
    });
    const call = {requestClass: 'book', requestId: 'twice-1'};
    const first = await caller.send(call);
    expect(first.outcome).to.equal(Outcome.DONE);
    for (let count = 0; count < RESENDS; count += 1) {
      const resendResult = await caller.send(call);
      expect(resendResult.outcome).to.equal(Outcome.DONE);
    }
    // A restarted caller has lost its state and knows the request by its token.
    const restarted = new SycamoreyokeCaller({
      caller: 'desk',
      token: 'of-desk',
      entries: bookingMembers.map(formatPublicUrl),
      dataCentre: 'oviedo',
    });
    if (!first.resume) throw new Error('the result has no token');
    await restarted.send({...call, resume: first.resume});
    await Promise.all([caller.close(), restarted.close()]);
    expect(await countExecutions(bookingMembers, 'twice-1')).to.equal(1);
  });

  // Guards against a directory lookup with a wrong token that gets no response.
  it('two services: a directory lookup with a wrong token gets 401', async () => {
    const [member] = await findMembers('bookings');
    if (!member) throw new Error('no member of bookings');
    const response = await request(formatDirectoryUrl(member), {
      headers: {
        'sycamoreyoke-class': 'read',
        'sycamoreyoke-caller': 'site',
        authorization: 'Bearer wrong',
      },
    });
    await response.body.dump();
    expect(response.statusCode).to.equal(401);
  });

  // Guards against the outcome unknown for a booking that can't have run, as
  // the upstream refused the connection.
  it('two services: a booking refused by a stopped upstream is not run', async () => {
    const fleet = await startInProcessFleet(OBJECTS, ['bookings'], 5);
    const [member] = fleet.members;
    if (!member) throw new Error('no member of bookings');
    await member.upstream.drain();
    const response = await request(formatPublicUrl(member), {
      headers: {
        'sycamoreyoke-class': 'book',
        'sycamoreyoke-request-id': 'down-1',
        'sycamoreyoke-pin': `${member.node.self.incarnation}.0`,
        'sycamoreyoke-caller': 'desk',
        authorization: 'Bearer of-desk',
      },
    });
    await response.body.dump();
    const events = await readEvents(member);
    await member.node.stop();
    expect(response.headers['sycamoreyoke-outcome']).to.equal(Outcome.NOT_RUN);
    expect(
      events.filter(({code}) => code === EventCode.INVARIANT_VIOLATED),
    ).to.have.length(0);
    await fleet.stop();
  });

  // Guards against a node that never exits after its upstream was drained.
  it('two services: a node exits after its upstream was drained', async () => {
    const fleet = await startInProcessFleet(OBJECTS, ['bookings'], 5);
    const [member] = fleet.members;
    if (!member) throw new Error('no member of bookings');
    const url = `http://127.0.0.1:${member.node.localPort}/drain`;
    const response = await request(url, {method: 'POST'});
    await response.body.dump();
    expect(response.statusCode).to.equal(200);
    await member.node.closed;
    await fleet.stop();
  });
});
