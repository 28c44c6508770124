/** Tells the nodes of a new version, so that they need not wait to read it. */
import {ControlClients} from '@sycamoreyoke/node/connection/controlClients';
import {PROTOCOL_VERSION} from '@sycamoreyoke/node/connection/membershipCodec';
import {SocketBytes} from '@sycamoreyoke/node/connection/socketBytes';
import type {TableService} from 'sycamoreyoke/platform';
import {parseSeedRows} from 'sycamoreyoke/process/seeds';
import type {Member} from 'sycamoreyoke/process/types';

const SEED_PREFIX = 'seeds/';
const PAGE = 1_000;
/** A node that is not reached reads the version by itself. */
const NOTIFY_LIMIT_MS = 2_000;

/** One seed of each service. */
async function listSeeds(table: TableService): Promise<Member[]> {
  const byService = new Map<string, Member>();
  let after = '';
  for (;;) {
    const rows = await table.list(SEED_PREFIX, after, PAGE);
    for (const {record} of parseSeedRows(rows)) {
      if (record) byService.set(record.service, record);
    }
    const last = rows.at(-1);
    if (!last || rows.length < PAGE) return [...byService.values()];
    after = last.key;
  }
}

/** Announces a version to one seed of each service; never rejects. */
export async function announceToSeeds(
  table: TableService,
  version: number,
): Promise<void> {
  const seeds = await listSeeds(table).catch(() => []);
  const clients = new ControlClients(new SocketBytes(), () => undefined);
  const announced = seeds.map(({address, controlPort}) =>
    clients
      .send(`http://${address}:${controlPort}`, (client) =>
        client.announceVersion(
          {protocolVersion: PROTOCOL_VERSION, version: BigInt(version)},
          {timeoutMs: NOTIFY_LIMIT_MS},
        ),
      )
      .catch(() => undefined),
  );
  await Promise.all(announced);
  clients.close();
}
