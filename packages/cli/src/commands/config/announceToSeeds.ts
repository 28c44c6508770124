/**
 * Announces a new configuration version to the nodes, so that they apply it
 * before their next periodic read.
 */
import {ControlClients} from '@sycamoreyoke/node/connection/controlClients';
import {PROTOCOL_VERSION} from '@sycamoreyoke/node/connection/membershipCodec';
import {SocketBytes} from '@sycamoreyoke/node/connection/socketBytes';
import type {TableService} from 'sycamoreyoke/platform';
import {parseSeedRows} from 'sycamoreyoke/process/seeds';
import type {Member} from 'sycamoreyoke/process/types';

const SEED_PREFIX = 'seeds/';
const SEED_PAGE_SIZE = 1_000;
/** A node that misses the announcement reads the version from the table. */
const ANNOUNCE_TIMEOUT_MS = 2_000;

/** Reads the seed rows and returns one seed of each service. */
async function listSeeds(table: TableService): Promise<Member[]> {
  const seedByService = new Map<string, Member>();
  let after = '';
  for (;;) {
    const rows = await table.list(SEED_PREFIX, after, SEED_PAGE_SIZE);
    for (const {record} of parseSeedRows(rows)) {
      if (record) seedByService.set(record.service, record);
    }
    const last = rows.at(-1);
    if (!last || rows.length < SEED_PAGE_SIZE)
      return [...seedByService.values()];
    after = last.key;
  }
}

/**
 * Announces a version to one seed of each service. Never rejects: nodes that
 * cannot be reached are skipped.
 */
export async function announceToSeeds(
  table: TableService,
  version: number,
): Promise<void> {
  const seeds = await listSeeds(table).catch(() => []);
  const clients = new ControlClients(new SocketBytes(), () => undefined);
  const announcements = seeds.map(({address, controlPort}) =>
    clients
      .send(`http://${address}:${controlPort}`, (client) =>
        client.announceVersion(
          {protocolVersion: PROTOCOL_VERSION, version: BigInt(version)},
          {timeoutMs: ANNOUNCE_TIMEOUT_MS},
        ),
      )
      .catch(() => undefined),
  );
  await Promise.all(announcements);
  clients.close();
}
