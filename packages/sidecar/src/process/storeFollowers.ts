/** Follows both tables of the store in each of its eras. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {
  chooseWatchMs,
  computeListPauseMs,
  computeMeanWatchMs,
} from 'sycamoreyoke/process/watchTime';
import type {Random} from 'sycamoreyoke/random';
import {NODES_WATCH_MEAN_MS} from '../constants.js';
import type {FleetStore} from '../types.js';
import {StoreTable} from '../types.js';
import type {ConfigurationTask} from './configurationTask.js';
import type {NodeRows} from './nodeRows.js';
import {StoreFollower} from './storeFollower.js';

/** Dependencies of the followers. */
export interface StoreFollowersParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: FleetStore;
  readonly record: EventRecorder;
  readonly configuration: Pick<ConfigurationTask, 'handleRows'>;
  readonly nodeRows: NodeRows;
  readonly countNodes: () => number;
  /** Called when a call to the store got no answer. */
  readonly handleSilence: () => void;
}

/** Creates the followers of the configuration and of the node table. */
export function createStoreFollowers({
  configuration,
  nodeRows,
  countNodes,
  random,
  ...parts
}: StoreFollowersParts): readonly [StoreFollower, StoreFollower] {
  const configurationFollower = new StoreFollower({
    ...parts,
    table: StoreTable.CONFIGURATION,
    handleAllRows: ({rows}) => configuration.handleRows(rows),
    handleChangedRows: (rows) => configuration.handleRows(rows),
    choosePauseMs: () => 0,
    chooseWaitMs: () => chooseWatchMs(random, computeMeanWatchMs(countNodes())),
  });
  const nodeFollower = new StoreFollower({
    ...parts,
    table: StoreTable.NODES,
    handleAllRows: (batch) => nodeRows.handleAllRows(batch),
    handleChangedRows: (rows) => nodeRows.handleChangedRows(rows),
    choosePauseMs: (changesInARow) =>
      computeListPauseMs(countNodes(), changesInARow),
    chooseWaitMs: () => chooseWatchMs(random, NODES_WATCH_MEAN_MS),
  });
  parts.store.subscribeToEras((era) => {
    configurationFollower.handleEra(era);
    nodeFollower.handleEra(era);
  });
  return [configurationFollower, nodeFollower];
}
