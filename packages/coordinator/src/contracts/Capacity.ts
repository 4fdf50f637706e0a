/** What an instance offers to work. */

export interface Capacity {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}
