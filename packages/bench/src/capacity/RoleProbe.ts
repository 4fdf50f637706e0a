/** Measures what a role costs at a given size. The bench fits a line through several sizes. */

export interface RoleCost {
  readonly heapBytes: number;
  /** Processor time of one operation, in microseconds. */
  readonly operationUs: number;
}

export abstract class RoleProbe {
  abstract readonly role: string;

  /** The unit that `sizes` counts. */
  abstract readonly sizeUnit: string;

  /** Description of the operation whose time is measured. */
  abstract readonly operation: string;

  abstract readonly sizes: readonly number[];

  /**
   * The size of this role in a deployment of the stated size: 11 availability zones, 240 pools,
   * 16,000 instances and 720 teams.
   */
  abstract readonly statedSize: number;

  abstract measure(size: number): RoleCost;
}

/** Heap in use, in bytes; after a garbage collection if `globalThis.gc` is set. */
export function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Mean processor time of one call over `count` calls, in microseconds. */
export function meanCpuUs(count: number, operation: (index: number) => void): number {
  const before = process.cpuUsage();
  for (let index = 0; index < count; index += 1) operation(index);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / count;
}
