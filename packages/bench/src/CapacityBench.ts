/**
 * Measures the slopes in docs/CAPACITY.md: the heap and processor time that each role needs per
 * unit of size, and what control costs a node at today's size. Checks the limits for a node, and the
 * cost of configuration changes at the stated size (see `RoleProbe.statedSize`).
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { BurnProbe } from './capacity/BurnProbe.js';
import { ConfigProbe } from './capacity/ConfigProbe.js';
import { fitLine } from './capacity/fitLine.js';
import { LinkProbe } from './capacity/LinkProbe.js';
import { type EntryCosts, measureEntries, type NodeCost } from './capacity/measureEntries.js';
import { type RoleProbe } from './capacity/RoleProbe.js';

const SHORT_MS = 8_000;
const LONG_MS = 60_000;
const MAX_CORE_PERCENT = 1.3;
const MAX_CONTROL_MIB = 64;
const MAX_KB_PER_SECOND = 5;
const BYTES_PER_MIB = 1024 * 1024;
const BYTES_PER_KB = 1_000;
/** 44,000 configuration changes a day, each of which every entry reduces. */
const PATCHES_PER_SECOND = 44_000 / 86_400;

/** Makes the garbage collector callable, which `heapBytes` of the probes needs. */
function exposeGc(): void {
  setFlagsFromString('--expose-gc');
  globalThis.gc = runInNewContext('gc') as NodeJS.GCFunction;
}

export class CapacityBench extends Bench {
  override readonly name = 'capacity';

  override readonly summary = 'cost of every role per unit of size, and of control on a node';

  override async run({ long }: BenchOptions): Promise<BenchResult> {
    const costs = await measureEntries(long ? LONG_MS : SHORT_MS);
    exposeGc();
    const patchUs = this.probe(new ConfigProbe());
    this.probe(new BurnProbe());
    this.probe(new LinkProbe());
    this.describe('idle', costs.idle);
    this.describe('busy', costs.busy);
    this.note(`busy entries took ${costs.requestsPerSecond.toFixed(0)} requests/s each`);
    this.note(`forwarder: ${(costs.forwarderBytes / BYTES_PER_MIB).toFixed(1)} MiB resident`);
    return { bounds: [...CapacityBench.nodeBounds(costs), CapacityBench.patchBound(patchUs)] };
  }

  /** Measures a role at each of its sizes. Returns the operation time at the stated size, in µs. */
  private probe(probe: RoleProbe): number {
    const measured = probe.sizes.map((size) => ({ size, ...probe.measure(size) }));
    measured.forEach(({ size, heapBytes, operationUs }) => {
      this.note(
        `${probe.role}: ${size} x ${probe.sizeUnit}: ${heapBytes} bytes, ${operationUs.toFixed(1)} us to ${probe.operation}`,
      );
    });
    const heap = fitLine(measured.map(({ size, heapBytes }) => ({ size, value: heapBytes })));
    const time = fitLine(measured.map(({ size, operationUs }) => ({ size, value: operationUs })));
    const atStatedSize = time.base + time.slope * probe.statedSize;
    this.note(
      `${probe.role}: ${heap.slope.toFixed(0)} bytes and ${time.slope.toFixed(4)} us for each ${probe.sizeUnit} (fit ${heap.fit.toFixed(3)}, ${time.fit.toFixed(3)}); at ${probe.statedSize}: ${((heap.base + heap.slope * probe.statedSize) / BYTES_PER_MIB).toFixed(2)} MiB, ${atStatedSize.toFixed(1)} us`,
    );
    return atStatedSize;
  }

  private describe(state: string, cost: NodeCost): void {
    const resident = (cost.residentBytes / BYTES_PER_MIB).toFixed(1);
    const traffic = (cost.bytesPerSecond / BYTES_PER_KB).toFixed(2);
    this.note(
      `${state}: ${cost.corePercent.toFixed(2)} % of a core, ${resident} MiB, ${traffic} KB/s`,
    );
  }

  private static nodeBounds(costs: EntryCosts): BenchResult['bounds'] {
    const { idle, forwarderBytes } = costs;
    const addedMib = (idle.residentBytes - forwarderBytes) / BYTES_PER_MIB;
    const traffic = idle.bytesPerSecond / BYTES_PER_KB;
    return [
      checkBound('idle-core', idle.corePercent, '%', 'at-most', MAX_CORE_PERCENT),
      checkBound('idle-traffic', traffic, 'KB/s', 'at-most', MAX_KB_PER_SECOND),
      checkBound('memory-over-forwarder', addedMib, 'MiB', 'at-most', MAX_CONTROL_MIB),
    ];
  }

  /** Checks that reducing a day's changes at the stated size stays within the processor budget. */
  private static patchBound(patchUs: number): BenchResult['bounds'][number] {
    // 1 % of a core is 10,000 microseconds of processor time per second.
    const corePercent = (PATCHES_PER_SECOND * patchUs) / 10_000;
    return checkBound('patches-core-at-target', corePercent, '%', 'at-most', MAX_CORE_PERCENT);
  }
}
