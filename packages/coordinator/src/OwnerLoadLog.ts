/**
 * Logs, once a second, what the owner of the journal spends its time on: how busy its event loop is, how
 * late its timers are, and the time of each part of its work beside the amounts that it grows with.
 */
import { type Clock, type Logger, type WorkMeter } from '@acaciadock/core';
import { type JobTable } from './JobTable.js';
import { type TargetTable } from './TargetTable.js';

/** Interval of the log line, in milliseconds. */
const PERIOD_MS = 1_000;

export interface OwnerLoadLogDeps {
  readonly meter: WorkMeter;
  /** Total time that the event loop of the process was busy, in milliseconds; undefined if unknown. */
  readonly busyMs: (() => number) | undefined;
  readonly jobs: JobTable;
  readonly targets: TargetTable;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class OwnerLoadLog {
  private writtenMs: number;

  private loggedBusyMs: number;

  private tickedMs: number;

  private mostDelayMs = 0;

  /** `tickMs` is the interval at which `tick` is called. */
  constructor(
    private readonly tickMs: number,
    private readonly deps: OwnerLoadLogDeps,
  ) {
    this.writtenMs = deps.clock.monotonicMs();
    this.tickedMs = this.writtenMs;
    this.loggedBusyMs = deps.busyMs?.() ?? 0;
  }

  /** Records how late this call of a periodic timer is, and writes the line when it is due. */
  tick(): void {
    const nowMs = this.deps.clock.monotonicMs();
    this.mostDelayMs = Math.max(this.mostDelayMs, nowMs - this.tickedMs - this.tickMs);
    this.tickedMs = nowMs;
    if (nowMs - this.writtenMs >= PERIOD_MS) this.write(nowMs);
  }

  private write(nowMs: number): void {
    const { busyMs, meter, logger } = this.deps;
    const totalBusyMs = busyMs?.();
    const periodMs = nowMs - this.writtenMs;
    logger.info('owner-load', {
      periodMs: Math.round(periodMs),
      busyShare:
        totalBusyMs === undefined
          ? undefined
          : Number(((totalBusyMs - this.loggedBusyMs) / periodMs).toFixed(3)),
      timerDelayMs: Math.round(this.mostDelayMs),
      ...this.amounts(),
      parts: meter.take().map(({ part, totalMs, longestMs, count }) => ({
        part,
        totalMs: Number(totalMs.toFixed(1)),
        longestMs: Number(longestMs.toFixed(1)),
        count,
      })),
    });
    this.writtenMs = nowMs;
    this.loggedBusyMs = totalBusyMs ?? 0;
    this.mostDelayMs = 0;
  }

  private amounts(): Record<string, number> {
    let waitingTasks = 0;
    for (const { job } of this.deps.jobs.activeJobs) {
      for (const { step } of job.waitingSteps) waitingTasks += step.waitingTasks.length;
    }
    let targets = 0;
    let runs = 0;
    for (const target of this.deps.targets.all) {
      targets += 1;
      runs += target.runs.size;
    }
    return { jobs: this.deps.jobs.activeCount, waitingTasks, targets, runs };
  }
}
