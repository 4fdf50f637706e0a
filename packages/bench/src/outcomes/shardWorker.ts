/** Runs one shard in a thread of its own and posts its result. */
import { parentPort, workerData } from 'node:worker_threads';
import { runShard, type ShardOptions } from './OutcomeShard.js';

parentPort?.postMessage(await runShard(workerData as ShardOptions));
