/** Compiles a configuration into lookup tables for request processing. */
import {Importance} from '../types.js';
import type {
  CallerObject,
  Configuration,
  PolicyObject,
  RequestClassObject,
  RetryLimitObject,
} from './types.js';
import {ImportanceName, ObjectKind} from './types.js';

const IMPORTANCE_BY_NAME: Readonly<Record<ImportanceName, Importance>> = {
  [ImportanceName.LOW]: Importance.LOW,
  [ImportanceName.NORMAL]: Importance.NORMAL,
  [ImportanceName.HIGH]: Importance.HIGH,
  [ImportanceName.CRITICAL]: Importance.CRITICAL,
};

/** A request class with its references resolved. */
export interface CompiledClass {
  readonly definition: RequestClassObject;
  readonly importance: Importance;
  readonly retryLimit: RetryLimitObject;
}

/** A configuration with its references resolved. */
export interface CompiledConfiguration {
  readonly version: number;
  readonly classes: ReadonlyMap<string, CompiledClass>;
  readonly callers: ReadonlyMap<string, CallerObject>;
  readonly policyOfService: ReadonlyMap<string, PolicyObject>;
}

/** Resolves the references of a valid configuration. */
export function compileConfiguration(
  configuration: Configuration,
): CompiledConfiguration {
  const retryLimits = new Map<string, RetryLimitObject>();
  const policies = new Map<string, PolicyObject>();
  const callers = new Map<string, CallerObject>();
  for (const object of configuration.objects) {
    if (object.kind === ObjectKind.RETRY_LIMIT)
      retryLimits.set(object.name, object);
    if (object.kind === ObjectKind.POLICY) policies.set(object.name, object);
    if (object.kind === ObjectKind.CALLER) callers.set(object.name, object);
  }
  const classes = new Map<string, CompiledClass>();
  const policyOfService = new Map<string, PolicyObject>();
  for (const object of configuration.objects) {
    if (object.kind === ObjectKind.REQUEST_CLASS) {
      const retryLimit = retryLimits.get(object.retryLimit);
      if (!retryLimit) continue;
      const importance = IMPORTANCE_BY_NAME[object.importance];
      classes.set(object.name, {definition: object, importance, retryLimit});
    }
    if (object.kind === ObjectKind.SERVICE) {
      const policy = policies.get(object.policy);
      if (policy) policyOfService.set(object.name, policy);
    }
  }
  return {
    version: configuration.version,
    classes,
    callers,
    policyOfService,
  };
}
