import {expect} from 'chai';
import {compileAccounts} from './accounts.js';
import {KeyFault, KeyHistory} from './keyHistory.js';

function compileKeys(keysByName: Readonly<Record<string, string[]>>) {
  return compileAccounts(
    Object.entries(keysByName).map(([name, keys]) => ({
      name,
      keys,
      rank: undefined,
      ratePerS: undefined,
      burst: 0,
    })),
  );
}

// Guards against a 401 that an operator cannot trace to the customer whose key
// was withdrawn or given to two accounts.
it('key history: names the holder of a withdrawn and of a shared key', () => {
  const history = new KeyHistory();
  history.update(compileKeys({hotel: ['h1', 'h2'], depot: ['d1']}));
  history.update(compileKeys({hotel: ['h2'], depot: ['d1', 'h2']}));
  const explain = (key?: string) => {
    const {fault, accounts} = history.explain(key);
    return `${fault} ${accounts.join(' ')}`.trim();
  };
  expect(explain()).to.equal(KeyFault.MISSING);
  expect(explain('x')).to.equal(KeyFault.UNKNOWN);
  expect(explain('h1')).to.equal('withdrawn hotel');
  expect(explain('h2')).to.equal('shared hotel depot');
});

// Guards against memory that grows with each version that replaces keys.
it('key history: keeps the latest 1,000 withdrawn keys', () => {
  const history = new KeyHistory();
  for (let version = 0; version <= 1_100; version += 1) {
    history.update(compileKeys({hotel: [`key-${version}`]}));
  }
  expect(history.explain('key-99').fault).to.equal(KeyFault.UNKNOWN);
  expect(history.explain('key-100').fault).to.equal(KeyFault.WITHDRAWN);
  expect(history.explain('key-1099').fault).to.equal(KeyFault.WITHDRAWN);
});
