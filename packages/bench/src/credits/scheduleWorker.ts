/** Worker thread that runs a range of fault plans and posts its findings. */
import { parentPort, workerData } from 'node:worker_threads';
import { FaultPlanner, FleetSimulation } from '@acaciadock/credits/testing';
import { type ScheduleFindings, type ScheduleRange } from './SchedulePool.js';

function runRange({ firstSeed, count }: ScheduleRange): ScheduleFindings {
  const badSeeds: number[] = [];
  let starts = 0;
  let violations = 0;
  let neverRecovered = 0;
  let massLosses = 0;
  let slowestRecoveryMs = 0;
  let slowestMassLossRecoveryMs = 0;
  for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
    const outcome = new FleetSimulation(new FaultPlanner(seed).plan()).run();
    const { usableAfterMs, massLoss } = outcome;
    starts += outcome.starts;
    violations += outcome.violations.length;
    if (outcome.violations.length > 0 || usableAfterMs === undefined) badSeeds.push(seed);
    if (usableAfterMs === undefined) neverRecovered += 1;
    if (massLoss) {
      massLosses += 1;
      slowestMassLossRecoveryMs = Math.max(slowestMassLossRecoveryMs, usableAfterMs ?? 0);
    } else slowestRecoveryMs = Math.max(slowestRecoveryMs, usableAfterMs ?? 0);
  }
  return {
    schedules: count,
    starts,
    violations,
    badSeeds,
    slowestRecoveryMs,
    neverRecovered,
    massLosses,
    slowestMassLossRecoveryMs,
  };
}

parentPort?.postMessage(runRange(workerData as ScheduleRange));
