/** Keeps a target that just refused a run, or could not be reached, from work for a moment. */
import { type TargetId } from '@acaciadock/core';
import { type PoolTargets } from './PoolTargets.js';

const REST_MS = 500;

export class RestingTargets {
  /** When each rest ends, monotonic milliseconds; the earliest first. */
  private readonly ends = new Map<TargetId, number>();

  constructor(private readonly targets: PoolTargets) {}

  rest(targetId: TargetId, nowMs: number): void {
    this.ends.delete(targetId);
    this.ends.set(targetId, nowMs + REST_MS);
    this.targets.setResting(targetId, true);
  }

  wake(nowMs: number): void {
    for (const [targetId, endMs] of this.ends) {
      if (endMs > nowMs) return;
      this.ends.delete(targetId);
      this.targets.setResting(targetId, false);
    }
  }
}
