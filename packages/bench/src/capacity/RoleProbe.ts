/** Measures what one role costs at a given size; the bench fits a line through several sizes. */

export interface RoleCost {
  readonly heapBytes: number;
  /** Processor time of one operation, in microseconds. */
  readonly operationUs: number;
}

export abstract class RoleProbe {
  abstract readonly role: string;

  /** What the size counts. */
  abstract readonly sizeUnit: string;

  /** What one operation is. */
  abstract readonly operation: string;

  abstract readonly sizes: readonly number[];

  /** The size of the stated target. */
  abstract readonly targetSize: number;

  abstract measure(size: number): RoleCost;
}

/** Heap in use after a collection, in bytes. */
export function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Processor time of one call out of `count`, in microseconds. */
export function meanCpuUs(count: number, operation: (index: number) => void): number {
  const before = process.cpuUsage();
  for (let index = 0; index < count; index += 1) operation(index);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / count;
}
