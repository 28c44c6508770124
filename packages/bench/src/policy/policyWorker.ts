/** Runs one job in a worker thread and posts its result. */
import {parentPort, workerData} from 'node:worker_threads';
import type {PolicyJob} from './jobs.js';
import {runJob} from './jobs.js';

parentPort?.postMessage(runJob(workerData as PolicyJob));
