/** Progress of a roll-out, and its remaining time extrapolated from the mean time so far. */
import { type RollOut } from './MaintenanceState.js';

export interface RollOutEstimate {
  readonly doneInstances: number;
  readonly totalInstances: number;
  readonly elapsedMs: number;
  /** Undefined until the first instance is done. */
  readonly timeLeftMs: number | undefined;
}

export function estimateRollOut(rollOut: RollOut, nowMs: number): RollOutEstimate {
  const { totalInstances, pending, startedAtMs, endedAtMs } = rollOut;
  const doneInstances = totalInstances - pending.length;
  const elapsedMs = Math.max(0, (endedAtMs ?? nowMs) - startedAtMs);
  if (endedAtMs !== undefined) return { doneInstances, totalInstances, elapsedMs, timeLeftMs: 0 };
  const timeLeftMs =
    doneInstances > 0 ? Math.round((elapsedMs / doneInstances) * pending.length) : undefined;
  return { doneInstances, totalInstances, elapsedMs, timeLeftMs };
}
