/** Sums of resources, such as those that a team holds in a pool. */

export interface ResourceAmount {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

export class ResourceSums implements ResourceAmount {
  cpuMilli = 0;

  memoryMb = 0;

  gpuCount = 0;

  add(amount: ResourceAmount, factor = 1): this {
    this.cpuMilli += amount.cpuMilli * factor;
    this.memoryMb += amount.memoryMb * factor;
    this.gpuCount += amount.gpuCount * factor;
    return this;
  }

  /**
   * The largest part of the capacity that these sums are in any resource. A resource without any
   * capacity is left out: whatever needs it can't be placed and takes no room from others.
   */
  largestPartOf(capacity: ResourceAmount): number {
    const part = (sum: number, all: number): number => (all > 0 ? sum / all : 0);
    return Math.max(
      part(this.cpuMilli, capacity.cpuMilli),
      part(this.memoryMb, capacity.memoryMb),
      part(this.gpuCount, capacity.gpuCount),
    );
  }
}
