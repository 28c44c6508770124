import type {RepeatGuard} from '../types.js';

/** Kinds of configuration objects. */
export enum ObjectKind {
  SERVICE = 'service',
  REQUEST_CLASS = 'requestClass',
  RETRY_LIMIT = 'retryLimit',
  CALLER = 'caller',
  POLICY = 'policy',
}

/** Importance of a request class, as written in a configuration. */
export enum ImportanceName {
  LOW = 'low',
  NORMAL = 'normal',
  HIGH = 'high',
  CRITICAL = 'critical',
}

/** Which goal a deployment favours under overload. */
export enum Lean {
  RECOVERY = 'recovery',
  GOODPUT = 'goodput',
}

export interface ServiceObject {
  readonly kind: ObjectKind.SERVICE;
  readonly name: string;
  readonly policy: string;
}

export interface RequestClassObject {
  readonly kind: ObjectKind.REQUEST_CLASS;
  readonly name: string;
  readonly service: string;
  readonly importance: ImportanceName;
  readonly idempotent: boolean;
  readonly guard: RepeatGuard;
  readonly retryLimit: string;
  readonly timeoutMs: number;
}

export interface RetryLimitObject {
  readonly kind: ObjectKind.RETRY_LIMIT;
  readonly name: string;
  /** Maximum retries for one request across the whole call chain. */
  readonly perRequest: number;
  /** Maximum ratio of retries to first attempts at a service. */
  readonly shareOfTraffic: number;
  readonly backoffBaseMs: number;
  readonly backoffMaxMs: number;
}

export interface CallerObject {
  readonly kind: ObjectKind.CALLER;
  readonly name: string;
  readonly tokenSha256: string;
  readonly classes: readonly string[];
  /** The caller keeps its own retry ledger. */
  readonly trusted: boolean;
}

export interface PolicyObject {
  readonly kind: ObjectKind.POLICY;
  readonly name: string;
  readonly lean: Lean;
  readonly queueLimit: number;
}

export type ConfigurationObject =
  | ServiceObject
  | RequestClassObject
  | RetryLimitObject
  | CallerObject
  | PolicyObject;

/** All objects of one version. */
export interface Configuration {
  readonly version: number;
  readonly objects: readonly ConfigurationObject[];
}

/** New state of one object; null removes it. */
export interface ObjectEdit {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly object: ConfigurationObject | null;
}

/** An object before and after a change; null if it does not exist. */
export interface ObjectChange {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly before: ConfigurationObject | null;
  readonly after: ConfigurationObject | null;
}

/** A published version as stored in the change log. */
export interface ChangeRecord {
  readonly version: number;
  /** Set by the publisher to find a publish whose response was lost. */
  readonly nonce: string;
  readonly who: string;
  /** ISO 8601 time of the publisher's clock. */
  readonly when: string;
  readonly changes: readonly ObjectChange[];
}
