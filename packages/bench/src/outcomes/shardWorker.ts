/** Worker thread that runs one shard and posts its result. */
import { parentPort, workerData } from 'node:worker_threads';
import { runShard, type ShardOptions } from './OutcomeShard.js';

parentPort?.postMessage(await runShard(workerData as ShardOptions));
