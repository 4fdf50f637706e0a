/** Heap in use after a full collection. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

export function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed;
}
