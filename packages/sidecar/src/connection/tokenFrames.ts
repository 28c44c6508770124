/** Fields of the frames that exchange tokens of client accounts. */
import type {
  AskMessage,
  GrantMessage,
} from 'sycamoreyoke/process/allotment/allotmentNode';
import {MAX_DELAY_MS} from '../constants.js';
import {readAmount, readCount, readList, readName} from './frameFields.js';

type Fields = readonly unknown[];

export function buildAsks({sequence, asks}: AskMessage): Fields {
  return [
    sequence,
    asks.map(({account, wanted, returned}) => [account, wanted, returned]),
  ];
}

export function readAsks(sequence: unknown, asks: unknown): AskMessage {
  return {
    sequence: readCount(sequence),
    asks: readList(asks).map((fields) => {
      const [account, wanted, returned] = readList(fields);
      return {
        account: readName(account),
        wanted: readCount(wanted),
        returned: readCount(returned),
      };
    }),
  };
}

/** Rounds the times such that no token is used late or expected early. */
export function buildGrants({sequence, grants, unheard}: GrantMessage): Fields {
  return [
    sequence,
    grants.map(({account, granted, lifetimeMs, nextTokenMs}) => [
      account,
      granted,
      Math.floor(lifetimeMs),
      Math.ceil(Math.min(MAX_DELAY_MS, nextTokenMs)),
    ]),
    ...(unheard.length > 0 ? [unheard] : []),
  ];
}

export function readGrants(
  sequence: unknown,
  grants: unknown,
  unheard: unknown,
): GrantMessage {
  return {
    sequence: readCount(sequence),
    grants: readList(grants).map((fields) => {
      const [account, granted, lifetimeMs, nextTokenMs] = readList(fields);
      return {
        account: readName(account),
        granted: readCount(granted),
        lifetimeMs: Math.min(MAX_DELAY_MS, readAmount(lifetimeMs)),
        nextTokenMs: Math.min(MAX_DELAY_MS, readAmount(nextTokenMs)),
      };
    }),
    unheard: unheard === undefined ? [] : readList(unheard).map(readName),
  };
}
