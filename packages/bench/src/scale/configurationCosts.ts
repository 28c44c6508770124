/** Measures the size and compile time of a configuration. */
import {compileConfiguration} from 'sycamoreyoke/version/compile';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {ImportanceName, ObjectKind} from 'sycamoreyoke/version/types';
import {RepeatGuard} from 'sycamoreyoke/types';

/** Costs of a configuration with a given number of objects. */
export interface ConfigurationCost {
  readonly heapBytes: number;
  readonly jsonBytes: number;
  readonly compileCpuMs: number;
}

/**
 * Parses and compiles a configuration of this many objects. `readHeap` returns
 * the heap in use in bytes; the heap figure excludes the JSON text.
 */
export function measureConfiguration(
  objects: number,
  readHeap: () => number,
): ConfigurationCost {
  const before = readHeap();
  const text = JSON.stringify(createObjects(objects));
  const parsed = JSON.parse(text) as ConfigurationObject[];
  const cpu = process.cpuUsage();
  const compiled = compileConfiguration({version: 1, objects: parsed});
  const used = process.cpuUsage(cpu);
  const heapBytes = readHeap() - before - text.length;
  return {
    heapBytes: compiled.classes.size > 0 ? heapBytes : 0,
    jsonBytes: text.length,
    compileCpuMs: (used.user + used.system) / 1_000,
  };
}

function createObjects(count: number): ConfigurationObject[] {
  return Array.from({length: count}, (_, index): ConfigurationObject => {
    if (index === 0) {
      return {
        kind: ObjectKind.RETRY_LIMIT,
        name: 'ordinary',
        perRequest: 3,
        shareOfTraffic: 0.1,
        backoffBaseMs: 20,
        backoffMaxMs: 1_000,
      };
    }
    return {
      kind: ObjectKind.REQUEST_CLASS,
      name: `service-number-${index}-read-parcel`,
      service: `service-number-${index}`,
      importance: ImportanceName.NORMAL,
      idempotent: true,
      guard: RepeatGuard.NONE,
      retryLimit: 'ordinary',
      timeoutMs: 2_000,
    };
  });
}
