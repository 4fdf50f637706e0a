/** Amounts of every resource of an instance: CPU, memory and GPUs. */

/** Any object with an amount of each resource, such as a step's task size or a capacity. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

export class ResourceVector implements Resources {
  static readonly ZERO = new ResourceVector(0, 0, 0);

  constructor(
    readonly cpuMilli: number,
    readonly memoryMb: number,
    readonly gpuCount: number,
  ) {}

  get isZero(): boolean {
    return this.cpuMilli === 0 && this.memoryMb === 0 && this.gpuCount === 0;
  }

  /** The sum of this vector and `factor` times the other one. */
  plus(other: Resources, factor = 1): ResourceVector {
    return new ResourceVector(
      this.cpuMilli + factor * other.cpuMilli,
      this.memoryMb + factor * other.memoryMb,
      this.gpuCount + factor * other.gpuCount,
    );
  }

  times(factor: number): ResourceVector {
    return ResourceVector.ZERO.plus(this, factor);
  }

  /**
   * The largest part of the capacity that this vector is in any resource. A resource without any
   * capacity is left out: whatever needs it can't be placed and takes no room from others.
   */
  largestPartOf(capacity: Resources): number {
    const part = (amount: number, all: number): number => (all > 0 ? amount / all : 0);
    return Math.max(
      part(this.cpuMilli, capacity.cpuMilli),
      part(this.memoryMb, capacity.memoryMb),
      part(this.gpuCount, capacity.gpuCount),
    );
  }

  /** The larger amount of each resource. */
  max(other: Resources): ResourceVector {
    return new ResourceVector(
      Math.max(this.cpuMilli, other.cpuMilli),
      Math.max(this.memoryMb, other.memoryMb),
      Math.max(this.gpuCount, other.gpuCount),
    );
  }
}
