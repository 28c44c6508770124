/** What the task of the links does on the events of a link. */
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import {EventCode} from 'sycamoreyoke/process/events';
import {FrameKind} from '../connection/frame.js';
import type {LinkEvents} from '../connection/linkEvents.js';
import type {PeerLink} from '../connection/peerLink.js';
import type {NodeRecord} from '../types.js';
import type {PeerTaskParts} from './peerTaskParts.js';

/** Connects the events of the links with the parts of the node. */
export function createLinkEvents(
  parts: PeerTaskParts,
  /** Whether a lost link to the node is dialled again at once. */
  needsRedial: (node: string) => boolean,
): LinkEvents {
  return {
    handleActivity: () => parts.handleActivity(),
    describeSelf: () => ({
      node: parts.self,
      report: parts.describeReport(),
    }),
    handleReport: (link, {configurationVersion}) => {
      parts.handlePeerVersion(configurationVersion, link);
    },
    handleHello: (link, node) => {
      if (!isSameProcess(node, link.node)) parts.handleNode(node);
      if (node.node !== link.node.node) parts.handleReplacedNode(link.node);
      if (node.service === parts.self.service) {
        sendSuspectsTo(link, parts.listSuspects());
      }
      for (const notice of parts.listNotices(node)) {
        link.sendOptional({kind: FrameKind.LEAVINGS, notice});
      }
      parts.linked.recordUp(node);
      if (parts.needsNodes()) link.write({kind: FrameKind.GET_NODES});
    },
    handleFrame: (link, frame) => {
      if (frame.kind === FrameKind.CONFIGURATION) {
        parts.handleConfiguration(frame.content);
      } else if (frame.kind === FrameKind.SUSPECTS) {
        parts.handleSuspects(frame.suspects);
      } else if (frame.kind === FrameKind.LEAVINGS) {
        parts.handleNotice(frame.notice);
      } else if (frame.kind === FrameKind.TOKENS_GRANT) {
        parts.handleGrant(link.node.node, frame.message);
      } else if (frame.kind === FrameKind.NODES) {
        for (const node of frame.nodes) parts.handleNode(node);
      }
    },
    needsRedial: ({node}) => needsRedial(node.node),
    handleRefused: ({node}) => parts.handleOwnerGone(node.node),
    handleUp: (link) => {
      parts.record(EventCode.LINK_UP, {
        node: link.node.node,
        service: link.node.service,
      });
    },
    handleDown: (link, message) => {
      parts.linked.recordDown(link.node);
      parts.handleOwnerLost(link.node.node);
      parts.record(EventCode.LINK_DOWN, {
        node: link.node.node,
        service: link.node.service,
        message,
      });
    },
    handleSilentLink: () => parts.handleSilentLink(),
    handleResume: (link, calls) => {
      parts.record(EventCode.LINK_RESUMED, {
        node: link.node.node,
        service: link.node.service,
        calls,
      });
    },
    handleForgotten: (link, calls) => {
      parts.record(EventCode.LINK_CALLS_FORGOTTEN, {
        node: link.node.node,
        service: link.node.service,
        calls,
      });
    },
    handleClosing: (link, calls) => {
      parts.handleOwnerLost(link.node.node);
      parts.record(EventCode.LINK_CLOSING, {
        node: link.node.node,
        service: link.node.service,
        calls,
      });
    },
  };
}

/** Sends suspects over a link, if there are any. */
export function sendSuspectsTo(
  link: PeerLink,
  suspects: readonly CrashSuspect[],
): void {
  if (suspects.length > 0) {
    link.sendOptional({kind: FrameKind.SUSPECTS, suspects});
  }
}

/** Whether two records describe the same process at the same address. */
export function isSameProcess(first: NodeRecord, second: NodeRecord): boolean {
  return (
    first.node === second.node &&
    first.incarnation === second.incarnation &&
    first.address.host === second.address.host &&
    first.address.port === second.address.port
  );
}
