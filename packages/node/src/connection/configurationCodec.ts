/**
 * Converts responses to configuration pulls between the library and the wire
 * format.
 */
import type {VersionDelta} from 'sycamoreyoke/process/configPropagationTypes';
import {PropagationResponseKind} from 'sycamoreyoke/process/configPropagationTypes';
import {formatObjectKey} from 'sycamoreyoke/version/diff';
import {objectSchema} from 'sycamoreyoke/version/schema';
import type {ConfigurationObject} from 'sycamoreyoke/version/types';
import {z} from 'zod';
import type {GetConfigurationResponse} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {ConfigurationResponse} from '../process/configurationTask.js';

const deltasSchema = z.object({
  since: z.int(),
  deltas: z.array(
    z.object({
      version: z.int(),
      edits: z.array(
        z.object({key: z.string(), value: objectSchema.nullable()}),
      ),
    }),
  ),
});

const snapshotSchema = z.array(objectSchema);

/** Encodes a response; version 0 means that the peer is not ready. */
export function encodeConfiguration(response: ConfigurationResponse) {
  switch (response.kind) {
    case PropagationResponseKind.DELTA: {
      const {since, deltas} = response;
      const version = deltas.at(-1)?.version ?? since;
      return {
        version: BigInt(version),
        isDelta: true,
        content: encodeJson({since, deltas}),
      };
    }
    case PropagationResponseKind.SNAPSHOT:
      return {
        version: BigInt(response.version),
        isDelta: false,
        content: encodeJson([...response.objects.values()]),
      };
    case PropagationResponseKind.NOT_READY:
      return {version: 0n, isDelta: false, content: new Uint8Array(0)};
  }
}

function encodeJson(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

/** Decodes a response; throws a SyntaxError or ZodError when malformed. */
export function decodeConfiguration(
  wire: GetConfigurationResponse,
): ConfigurationResponse {
  if (wire.version === 0n) return {kind: PropagationResponseKind.NOT_READY};
  const content: unknown = JSON.parse(Buffer.from(wire.content).toString());
  if (wire.isDelta) {
    const {since, deltas} = deltasSchema.parse(content);
    return {
      kind: PropagationResponseKind.DELTA,
      since,
      deltas: deltas.map(readDelta),
    };
  }
  const objects = snapshotSchema.parse(content);
  return {
    kind: PropagationResponseKind.SNAPSHOT,
    version: Number(wire.version),
    objects: new Map(
      objects.map((object) => [formatObjectKey(object), object]),
    ),
  };
}

type WireDelta = z.output<typeof deltasSchema>['deltas'][number];

/** Narrows a parsed delta; the schema's optional fields widen its type. */
function readDelta({
  version,
  edits,
}: WireDelta): VersionDelta<ConfigurationObject> {
  return {version, edits: edits};
}
