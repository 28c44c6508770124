/** Handlers for the control messages of other nodes. */
import type {HandlerContext} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import type {ClaimWrite} from 'sycamoreyoke/process/claimBatcher';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {
  MembershipRequest,
  MembershipResponse,
} from 'sycamoreyoke/process/membershipMessages';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import type {RequestIdentity} from 'sycamoreyoke/types';
import type {Sender} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {ClaimTask} from '../process/claimTask.js';
import type {ConfigurationTask} from '../process/configurationTask.js';
import {encodeAnswer, encodeWriteResult} from './claimCodec.js';
import {encodeConfiguration} from './configurationCodec.js';
import type {ControlHandlers} from './controlListener.js';
import {
  PROTOCOL_VERSION,
  decodeAnnounce,
  decodeIndirectProbe,
  decodeListRequest,
  decodeProbe,
  encodeMembershipResponse,
} from './membershipCodec.js';
import type {SenderHeader} from './membershipCodec.js';

/** Dependencies of the control handlers. */
export interface ControlParts {
  readonly incarnation: string;
  readonly readMs: () => number;
  readonly createSender: () => SenderHeader;
  readonly observeSender: (sender: Sender | undefined) => void;
  readonly respond: (request: MembershipRequest) => Promise<MembershipResponse>;
  readonly mergeSuspects: (suspects: readonly CrashSuspect[]) => void;
  readonly takeSuspects: () => CrashSuspect[];
  readonly configuration: ConfigurationTask;
  readonly claims: ClaimTask;
  readonly askOutcome: (
    identity: RequestIdentity,
    nonce: string,
  ) => Promise<SendAnswer>;
}

/** Creates the handlers of the control service. */
export function createControlHandlers(parts: ControlParts): ControlHandlers {
  const createMessageHeader = () => ({
    protocolVersion: PROTOCOL_VERSION,
    sender: parts.createSender(),
  });
  const answerMembership = async (
    request: MembershipRequest,
    context: HandlerContext,
  ) => {
    const response = await waitUnlessCancelled(context, parts.respond(request));
    return encodeMembershipResponse(response, parts.readMs());
  };
  return {
    async probe(wire, context) {
      parts.observeSender(wire.sender);
      parts.mergeSuspects(wire.suspects);
      const request = decodeProbe(wire, parts.readMs());
      const answer = await answerMembership(request, context);
      return {
        ...createMessageHeader(),
        ...answer,
        suspects: parts.takeSuspects(),
      };
    },
    async indirectProbe(wire, context) {
      parts.observeSender(wire.sender);
      const request = decodeIndirectProbe(wire, parts.readMs());
      if (!request) {
        throw new ConnectError(
          'the target is missing or cannot be decoded',
          Code.InvalidArgument,
        );
      }
      return {
        ...createMessageHeader(),
        ...(await answerMembership(request, context)),
      };
    },
    async listMembers(wire, context) {
      parts.observeSender(wire.sender);
      const request = decodeListRequest(wire);
      return {
        ...createMessageHeader(),
        ...(await answerMembership(request, context)),
      };
    },
    async announce(wire, context) {
      parts.observeSender(wire.sender);
      const request = decodeAnnounce(wire, parts.readMs());
      return {
        ...createMessageHeader(),
        ...(await answerMembership(request, context)),
      };
    },
    getConfiguration(wire) {
      const response = parts.configuration.serve(Number(wire.sinceVersion));
      return {...createMessageHeader(), ...encodeConfiguration(response)};
    },
    announceVersion(wire) {
      // If the sender is a peer, the change is pulled from it. A publisher
      // sends no sender, so the change is read from the table.
      if (wire.sender) parts.observeSender(wire.sender);
      else parts.configuration.observeAnnouncement(Number(wire.version));
      return createMessageHeader();
    },
    async submitClaims(wire) {
      const writes: ClaimWrite[] = wire.writes.map((write) => ({
        key: write.key,
        expectedVersion: Number(write.expectedVersion),
        value: write.value,
        retentionMs: Number(write.retentionMs),
      }));
      const results = await Promise.all(
        writes.map((write) => parts.claims.submit(write)),
      );
      return {
        ...createMessageHeader(),
        results: results.map(encodeWriteResult),
      };
    },
    async askOutcome(wire) {
      if (wire.owner !== parts.incarnation) {
        throw new ConnectError(
          'this node is not the owner of the claim',
          Code.NotFound,
        );
      }
      const {caller, requestClass, requestId, nonce} = wire;
      const identity = {caller, requestClass, requestId};
      const answer = await parts.askOutcome(identity, nonce);
      return {...createMessageHeader(), ...encodeAnswer(answer)};
    },
  };
}

/** Rejects once the request is cancelled, since `work` might never settle. */
function waitUnlessCancelled<T>(
  context: HandlerContext,
  work: Promise<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const handleAbort = () =>
      reject(new ConnectError('the request was cancelled', Code.Canceled));
    context.signal.addEventListener('abort', handleAbort, {once: true});
    work.then(resolve, reject);
  });
}
