import {expect} from 'chai';
import type {Account} from './accounts.js';
import {
  CredentialCheck,
  checkCredentials,
  compileAccounts,
} from './accounts.js';

function createAccount(name: string, ...keys: string[]): Account {
  return {name, keys, rank: undefined, ratePerS: undefined, burst: 0};
}

const TABLE = compileAccounts([
  createAccount('hotel', 'k-1', 'k-2'),
  createAccount('depot', 'k-3', 'shared'),
  createAccount('billing', 'shared'),
]);
const REQUEST = {key: 'k-2', isPublicRoute: false, isUpstreamCall: false};

// Guards against a request that is charged to another account, and against one
// that runs without a known key.
it('accounts: a request belongs to the holder of its key', () => {
  expect(checkCredentials(TABLE, REQUEST).account?.name).to.equal('hotel');
  for (const key of ['k-4', '', 'K-2', undefined]) {
    const {check} = checkCredentials(TABLE, {...REQUEST, key});
    expect(check, key).to.equal(CredentialCheck.UNKNOWN);
  }
});

// Guards against charging one of two accounts for the other's requests.
it('accounts: a key of two accounts identifies neither', () => {
  const {check} = checkCredentials(TABLE, {...REQUEST, key: 'shared'});
  expect(check).to.equal(CredentialCheck.UNKNOWN);
});

// Guards against refusing what needs no key, and against a client that passes
// for the upstream with an invalid key.
it('accounts: only public routes and calls of upstreams need no key', () => {
  const call = {key: undefined, isPublicRoute: false, isUpstreamCall: true};
  const open = {key: 'k-4', isPublicRoute: true, isUpstreamCall: false};
  expect(checkCredentials(TABLE, call).check).to.equal(
    CredentialCheck.ANONYMOUS,
  );
  expect(checkCredentials(TABLE, open).check).to.equal(
    CredentialCheck.ANONYMOUS,
  );
  expect(checkCredentials(TABLE, {...call, key: 'k-4'}).check).to.equal(
    CredentialCheck.UNKNOWN,
  );
  expect(checkCredentials(undefined, REQUEST).account).to.equal(undefined);
});
