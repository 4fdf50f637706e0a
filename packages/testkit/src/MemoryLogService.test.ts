import { SystemClock } from '@acaciadock/core';
import { describeLogService, type LogFault, LogHarness } from './contracts/logServiceContract.js';
import { LogStore } from './LogStore.js';
import { MemoryLogService } from './MemoryLogService.js';

class MemoryLogHarness extends LogHarness {
  override readonly faults: readonly LogFault[] = ['unreachable', 'refused'];

  private readonly clock = new SystemClock();

  private readonly store = new LogStore(this.clock);

  override readonly log = new MemoryLogService(this.store, this.clock);

  override async cause(fault: LogFault): Promise<void> {
    if (fault === 'unreachable') this.log.faults.down = true;
    else this.log.faults.refuseAppends = 1;
  }

  override async clearFaults(): Promise<void> {
    this.log.faults.down = false;
  }

  override expireBefore(stream: string, offset: number): void {
    this.store.expireBefore(stream, offset);
  }

  override count(stream: string): number {
    return this.store.records(stream).length;
  }

  override async close(): Promise<void> {
    // Holds no resources.
  }
}

describeLogService('in-memory log', () => Promise.resolve(new MemoryLogHarness()));
