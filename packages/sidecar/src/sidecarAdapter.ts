/** What the adapter of a platform provides to a sidecar. */
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import type {CrashMark} from './process/crashTask.js';
import type {
  ConfigurationDecoder,
  FleetStore,
  NodeRecord,
  SidecarSettings,
  WireProtocol,
} from './types.js';

/** Settings, protocols and codecs that an adapter provides. */
export interface SidecarAdapter {
  readonly settings: SidecarSettings;
  readonly wire: WireProtocol;
  readonly store: FleetStore;
  readonly decodeConfiguration: ConfigurationDecoder;
  readonly encodeNode: (node: NodeRecord) => Uint8Array;
  readonly decodeNode: (content: Uint8Array) => NodeRecord | undefined;
  readonly encodeMark: (mark: CrashMark) => Uint8Array;
  readonly decodeMark: (content: Uint8Array) => CrashMark | undefined;
  readonly encodeLeavings: (leavings: readonly UpstreamLeaving[]) => Uint8Array;
  readonly decodeLeavings: (content: Uint8Array) => readonly UpstreamLeaving[];
}
