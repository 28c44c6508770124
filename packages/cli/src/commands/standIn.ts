import {startPlatform} from '@sycamoreyoke/standins/platform/platformServer';
import {startUpstream} from '@sycamoreyoke/standins/upstream/upstreamServer';
import {defineCommand} from 'citty';

const platformCommand = defineCommand({
  meta: {name: 'platform', description: 'Table service and object store'},
  args: {port: {type: 'string', default: '0'}},
  async run({args}) {
    const server = await startPlatform(Number(args.port), '127.0.0.1');
    console.log(JSON.stringify(server.address()));
  },
});

const upstreamCommand = defineCommand({
  meta: {name: 'upstream', description: 'An upstream with slots'},
  args: {
    port: {type: 'string', default: '0'},
    name: {type: 'string', default: 'upstream'},
    slots: {type: 'string', default: '50'},
    'service-time-ms': {type: 'string', default: '5'},
    egress: {type: 'string', default: ''},
    calls: {type: 'string', default: ''},
  },
  async run({args}) {
    const server = await startUpstream(
      {
        name: args.name,
        slots: Number(args.slots),
        serviceTimeMs: Number(args['service-time-ms']),
        calls: args.calls.split(',').filter((name) => name !== ''),
        ...(args.egress === '' ? {} : {egress: args.egress}),
      },
      Number(args.port),
      '127.0.0.1',
    );
    console.log(JSON.stringify(server.address()));
  },
});

/** Runs a stand-in of an outside system. */
export const standInCommand = defineCommand({
  meta: {name: 'stand-in', description: 'Run a stand-in'},
  subCommands: {platform: platformCommand, upstream: upstreamCommand},
});
