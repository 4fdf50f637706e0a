/** Withholds new work for a short cooldown from a target that refused a run or was unreachable. */
import { type TargetId } from '@acaciadock/core';
import { type PoolTargets } from './PoolTargets.js';

const COOLDOWN_MS = 500;

export class TargetCooldowns {
  /** When each cooldown ends, in monotonic milliseconds; the earliest first. */
  private readonly ends = new Map<TargetId, number>();

  constructor(private readonly targets: PoolTargets) {}

  start(targetId: TargetId, nowMs: number): void {
    this.ends.delete(targetId);
    this.ends.set(targetId, nowMs + COOLDOWN_MS);
    this.targets.setCoolingDown(targetId, true);
  }

  endExpired(nowMs: number): void {
    for (const [targetId, endMs] of this.ends) {
      if (endMs > nowMs) return;
      this.ends.delete(targetId);
      this.targets.setCoolingDown(targetId, false);
    }
  }
}
