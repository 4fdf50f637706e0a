/** Worker thread: runs a range of fault plans and posts what it found. */
import { parentPort, workerData } from 'node:worker_threads';
import { FaultPlanner, FleetSimulation } from '@acaciadock/credits/testing';
import { type ScheduleFindings, type ScheduleRange } from './SchedulePool.js';

function runRange({ firstSeed, count }: ScheduleRange): ScheduleFindings {
  const badSeeds: number[] = [];
  let starts = 0;
  let violations = 0;
  let neverHealed = 0;
  let massLosses = 0;
  let slowestHealingMs = 0;
  let slowestMassHealingMs = 0;
  for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
    const outcome = new FleetSimulation(new FaultPlanner(seed).plan()).run();
    const { usableAfterMs, massLoss } = outcome;
    starts += outcome.starts;
    violations += outcome.violations.length;
    if (outcome.violations.length > 0 || usableAfterMs === undefined) badSeeds.push(seed);
    if (usableAfterMs === undefined) neverHealed += 1;
    if (massLoss) {
      massLosses += 1;
      slowestMassHealingMs = Math.max(slowestMassHealingMs, usableAfterMs ?? 0);
    } else slowestHealingMs = Math.max(slowestHealingMs, usableAfterMs ?? 0);
  }
  return {
    schedules: count,
    starts,
    violations,
    badSeeds,
    slowestHealingMs,
    neverHealed,
    massLosses,
    slowestMassHealingMs,
  };
}

parentPort?.postMessage(runRange(workerData as ScheduleRange));
