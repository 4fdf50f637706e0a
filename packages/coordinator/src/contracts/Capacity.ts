/** Resources that an instance offers to tasks. */

export interface Capacity {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}
