/**
 * Clients of several tenants send at the usual rate of a machine, times the
 * burst of the site. Their backend makes calls. The backend that runs a call is
 * told a tenant whose request the call was not made for.
 */
import {BROKEN, HELD, hasTrouble, runCase} from '../harness-2.mjs';
import {TENANTS, TenantPlay} from '../tenantPlay.mjs';

/** 544 requests a second for 21 backends, times 1.7 as in a burst. */
const REQUESTS_PER_S = (544 / 21) * 1.7;
/** A burst of the site lasts 18 s. */
const PLAY_MS = 18_000;
/** Sent one after the other without the burst. */
const QUIET_REQUESTS = 60;
const MAX_LISTED = 40;

await runCase(async (record) => {
  const play = new TenantPlay();
  try {
    await play.start();
    record.add(`clients: ${TENANTS.length} tenants`);
    if (hasTrouble) await play.sendForMs(REQUESTS_PER_S, PLAY_MS);
    else for (let sent = 0; sent < QUIET_REQUESTS; sent += 1) await play.send();
    play.report(record);
    const foreign = play.listForeignRuns();
    record.add(`run with the name of another tenant: ${foreign.length}`);
    for (const {requestId, headers} of foreign.slice(0, MAX_LISTED)) {
      const parent = play.parents.get(requestId);
      const tenant = play.tenants.get(parent);
      const named = headers['sycamoreyoke-tenant'];
      record.add(
        `  call ${requestId} for request ${parent} of ${tenant}: run as ${named}`,
      );
    }
    return foreign.length > 0 ? BROKEN : HELD;
  } finally {
    await play.fleet.stop();
  }
});
