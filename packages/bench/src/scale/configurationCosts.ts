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
  objectCount: number,
  readHeapBytes: () => number,
): ConfigurationCost {
  const heapBefore = readHeapBytes();
  const json = JSON.stringify(createObjects(objectCount));
  const parsed = JSON.parse(json) as ConfigurationObject[];
  const startCpu = process.cpuUsage();
  const compiled = compileConfiguration({version: 1, objects: parsed});
  const usedCpu = process.cpuUsage(startCpu);
  const heapBytes = readHeapBytes() - heapBefore - json.length;
  return {
    heapBytes: compiled.classes.size > 0 ? heapBytes : 0,
    jsonBytes: json.length,
    compileCpuMs: (usedCpu.user + usedCpu.system) / 1_000,
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
