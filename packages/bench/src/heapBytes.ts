/** Measures the heap in use after a full garbage collection. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

export function heapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
