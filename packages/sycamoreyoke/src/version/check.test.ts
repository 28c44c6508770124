import {expect} from 'chai';
import fc from 'fast-check';
import {Severity} from '../findings.js';
import {RepeatGuard} from '../types.js';
import {checkSet} from './check.js';
import {checkTransitions, compareSets, buildObjectMap} from './diff.js';
import type {
  CallerObject,
  ConfigurationObject,
  RequestClassObject,
  RetryLimitObject,
} from './types.js';
import {ImportanceName, Lean, ObjectKind} from './types.js';

const SEED = 20_261;
const name = fc.constantFrom('a', 'b', 'c');

const object: fc.Arbitrary<ConfigurationObject> = fc.oneof(
  fc.record({
    kind: fc.constant(ObjectKind.SERVICE as const),
    name,
    policy: name,
  }),
  fc.record({
    kind: fc.constant(ObjectKind.REQUEST_CLASS as const),
    name,
    service: name,
    importance: fc.constantFrom(...Object.values(ImportanceName)),
    idempotent: fc.boolean(),
    guard: fc.constantFrom(...Object.values(RepeatGuard)),
    retryLimit: name,
    timeoutMs: fc.constantFrom(0, 10, 200),
  }),
  fc.record({
    kind: fc.constant(ObjectKind.RETRY_LIMIT as const),
    name,
    perRequest: fc.constantFrom(-1, 0, 3),
    shareOfTraffic: fc.constantFrom(0, 0.1),
    backoffBaseMs: fc.constantFrom(1, 20, 100),
    backoffMaxMs: fc.constantFrom(10, 50),
  }),
  fc.record({
    kind: fc.constant(ObjectKind.CALLER as const),
    name,
    tokenSha256: fc.constantFrom('0'.repeat(64), '1'.repeat(64), 'short'),
    classes: fc.array(name, {minLength: 1, maxLength: 3}),
    trusted: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant(ObjectKind.POLICY as const),
    name,
    lean: fc.constantFrom(...Object.values(Lean)),
    queueLimit: fc.constantFrom(-1, 100),
  }),
);

/** Naive check that applies each rule to every pair of objects. */
function listExpectedPlaces(set: readonly ConfigurationObject[]): string[] {
  const places: string[] = [];
  const isValid = (object: ConfigurationObject) =>
    listInvalid(object).length === 0;
  const has = (kind: ObjectKind, referencedName: string) =>
    set.some(
      (object) => object.kind === kind && object.name === referencedName,
    );
  const valid = set.filter(isValid);
  const callers = valid.filter(
    (object): object is CallerObject => object.kind === ObjectKind.CALLER,
  );
  set.forEach((object, index) => {
    const add = (path: string) =>
      places.push(`${object.kind}/${object.name}:${path}`);
    const isRepeated = set
      .slice(0, index)
      .some(
        (other) => other.kind === object.kind && other.name === object.name,
      );
    if (isRepeated) add('name');
    listInvalid(object).forEach(add);
    if (!isValid(object)) return;
    if (object.kind === ObjectKind.SERVICE) {
      if (!has(ObjectKind.POLICY, object.policy)) add('policy');
    }
    if (object.kind === ObjectKind.REQUEST_CLASS) {
      if (!has(ObjectKind.SERVICE, object.service)) add('service');
      if (!has(ObjectKind.RETRY_LIMIT, object.retryLimit)) add('retryLimit');
      if (object.idempotent !== (object.guard === RepeatGuard.NONE))
        add('guard');
      if (hasLongRetries(valid, object)) add('retryLimit');
    }
    if (object.kind === ObjectKind.RETRY_LIMIT) {
      if (object.backoffBaseMs > object.backoffMaxMs) add('backoffBaseMs');
      if (object.perRequest > 0 && object.shareOfTraffic === 0)
        add('shareOfTraffic');
    }
    if (object.kind === ObjectKind.CALLER) {
      object.classes.forEach((className, position) => {
        const isTwice = object.classes.slice(0, position).includes(className);
        if (isTwice || !has(ObjectKind.REQUEST_CLASS, className)) {
          add(`classes[${position}]`);
        }
      });
      const first = callers.find((c) => c.tokenSha256 === object.tokenSha256);
      if (first && first.name !== object.name) add('tokenSha256');
    }
  });
  return places.sort();
}

function listInvalid(object: ConfigurationObject): string[] {
  switch (object.kind) {
    case ObjectKind.REQUEST_CLASS:
      return object.timeoutMs < 1 ? ['timeoutMs'] : [];
    case ObjectKind.RETRY_LIMIT:
      return object.perRequest < 0 ? ['perRequest'] : [];
    case ObjectKind.CALLER:
      return object.tokenSha256 === 'short' ? ['tokenSha256'] : [];
    case ObjectKind.POLICY:
      return object.queueLimit < 0 ? ['queueLimit'] : [];
    case ObjectKind.SERVICE:
      return [];
  }
}

function hasLongRetries(
  valid: readonly ConfigurationObject[],
  requestClass: RequestClassObject,
): boolean {
  const limit = valid.findLast(
    (other): other is RetryLimitObject =>
      other.kind === ObjectKind.RETRY_LIMIT &&
      other.name === requestClass.retryLimit,
  );
  if (!limit) return false;
  let waitMs = 0;
  for (let retry = 0; retry < limit.perRequest; retry += 1) {
    waitMs +=
      Math.min(limit.backoffBaseMs * 2 ** retry, limit.backoffMaxMs) / 2;
  }
  return waitMs >= requestClass.timeoutMs;
}

// Guards against a rule that hides another fault or misses an occurrence.
it('check: finds what a naive check of every pair finds', () => {
  fc.assert(
    fc.property(fc.array(object, {maxLength: 12}), (set) => {
      const {findings} = checkSet(set.map((value) => ({value})));
      const places = findings
        .filter(({severity}) => severity === Severity.ERROR)
        .map(({kind, name, path}) => `${kind}/${name}:${path}`);
      expect(places.sort()).to.deep.equal(listExpectedPlaces(set));
    }),
    {seed: SEED, numRuns: 3_000},
  );
});

// Guards against publishing objects by mistake that nothing refers to.
it('check: an object that nothing refers to is a warning', () => {
  const policy = {kind: 'policy', name: 'p', lean: 'goodput', queueLimit: 1};
  const [finding, ...rest] = checkSet([{value: policy}]).findings;
  expect(finding?.severity).to.equal(Severity.WARNING);
  expect(rest).to.have.length(0);
});

// Guards against a finding that an operator cannot locate.
it('check: a finding names file, line, object and path', () => {
  const value = {kind: 'policy', name: 'p', lean: 'goodput', queueLimit: -1};
  const findLine = (path: ReadonlyArray<string | number>) =>
    path[0] === 'queueLimit' ? 7 : 3;
  const {findings} = checkSet([{value, file: 'x.yaml', findLine}]);
  expect(findings[0]?.place).to.equal('x.yaml:7 policy "p" queueLimit');
});

const bookClass: RequestClassObject = {
  kind: ObjectKind.REQUEST_CLASS,
  name: 'book',
  service: 'bookings',
  importance: ImportanceName.CRITICAL,
  idempotent: false,
  guard: RepeatGuard.PIN,
  retryLimit: 'none',
  timeoutMs: 2_000,
};

// Guards against one request that is guarded by a pin in one send and by a
// claim in another, because its class was changed or created again.
it('diff: the guard and the service of a class never change', () => {
  const before = buildObjectMap([bookClass]);
  const changed = {...bookClass, guard: RepeatGuard.CLAIM, service: 'x'};
  const after = buildObjectMap([changed]);
  const direct = checkTransitions(compareSets(before, after), () => undefined);
  const created = compareSets(new Map(), after);
  const recreated = checkTransitions(created, () => bookClass);
  expect(direct).to.have.length(2);
  expect(recreated).to.have.length(2);
});

// Guards against a change that the comparison misses.
it('diff: applying the difference of two sets gives the second', () => {
  const set = fc.uniqueArray(object, {
    selector: (object) => `${object.kind}/${object.name}`,
  });
  fc.assert(
    fc.property(set, set, (a, b) => {
      const before = buildObjectMap(a);
      const result = new Map(before);
      for (const change of compareSets(before, buildObjectMap(b))) {
        const key = `${change.kind}/${change.name}`;
        if (change.after) result.set(key, change.after);
        else result.delete(key);
      }
      expect(Object.fromEntries(result)).to.deep.equal(
        Object.fromEntries(buildObjectMap(b)),
      );
    }),
    {seed: SEED, numRuns: 500},
  );
});
