/** What a link reports to the task that owns it. */
import type {NodeRecord, NodeReport} from '../types.js';
import type {Frame} from './frame.js';
import type {PeerLink} from './peerLink.js';

/** Callbacks of a link. */
export interface LinkEvents {
  /** Called when bytes of the node are read, before they are handled. */
  readonly handleActivity: () => void;
  readonly describeSelf: () => {node: NodeRecord; report: NodeReport};
  handleReport(link: PeerLink, report: NodeReport): void;
  /** Called with the node that answered, which may not be the expected one. */
  handleHello(link: PeerLink, node: NodeRecord): void;
  handleFrame(link: PeerLink, frame: Frame): void;
  handleUp(link: PeerLink): void;
  /** Called when the address refuses connections: the process is gone. */
  handleRefused(link: PeerLink): void;
  handleDown(link: PeerLink, message: string): void;
  /** Whether to dial at once after a loss, to learn if the process is gone. */
  needsRedial(link: PeerLink): boolean;
  /** Called when a ping timed out; other connections may be dead as well. */
  handleSilentLink(): void;
  /** Called when the node closes the link; this many calls have not run. */
  handleClosing(link: PeerLink, calls: number): void;
  /** Called when the node is asked about this many calls of a lost socket. */
  handleResume(link: PeerLink, calls: number): void;
  /** Called when the node cannot tell what became of this many calls. */
  handleForgotten(link: PeerLink, calls: number): void;
}
