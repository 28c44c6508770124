import {expect} from 'chai';
import type {Route} from './routeTable.js';
import {Repeatability, compileRouteTable, findRoute} from './routeTable.js';

function createRoute(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    repeatability: Repeatability.IDEMPOTENT,
    timeoutMs: 1_000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    rank: 0,
    isPublic: false,
    targets: [{service: 's', weight: 1}],
  };
}

const TABLE = compileRouteTable({
  version: 1,
  routes: [
    createRoute('all', 'a.example', '/'),
    createRoute('deep', 'a.example', '/x/y/'),
    createRoute('short', 'a.example', '/x/'),
  ],
  services: new Map(),
  accounts: undefined,
  findings: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

// Guards against a request that is routed by a shorter matching prefix.
it('route table: the longest prefix of the host wins', () => {
  expect(findRoute(TABLE, 'a.example', '/x/y/z')?.name).to.equal('deep');
  expect(findRoute(TABLE, 'A.example:80', '/x/q?y=/x/y/')?.name).to.equal(
    'short',
  );
  expect(findRoute(TABLE, 'a.example', '/xy/')?.name).to.equal('all');
  expect(findRoute(TABLE, 'b.example', '/x/')).to.equal(undefined);
});
