/** Simulates a team that becomes busy, and measures how much of its limit eight entries can use. */
import { type FaultPlan, FleetSimulation } from '@acaciadock/credits/testing';

const ENTRIES = 8;
const SETTLE_MS = 6_000;
/** Time that the team is given to reach its limit. */
const WITHIN_MS = 1_000;

/** A plan without faults or message loss, for teams with the given limits. */
export function faultFreePlan(seed: number, limits: readonly number[]): FaultPlan {
  return {
    seed,
    nodes: ENTRIES,
    limits,
    faults: [],
    lossRatio: 0,
    duplicateRatio: 0,
    maxDelayMs: 3,
    appendLossRatio: 0,
    maxAppendDelayMs: 10,
    shortTiming: false,
    busyRatio: 0,
    faultsBeginMs: 0,
    faultsEndMs: SETTLE_MS,
  };
}

/** The fraction of its limit that a team, busy at one entry, reaches within a second. */
export function reachedRatio(seed: number, limit: number): number {
  const fleet = new FleetSimulation(faultFreePlan(seed, [limit]));
  const teamId = fleet.teamIds[0] ?? '';
  fleet.queue.runUntil(SETTLE_MS);
  const busyNode = fleet.nodes[seed % ENTRIES];
  if (!busyNode) return 0;
  fleet.work.setQueue(busyNode, teamId, 10 * limit);
  let peakRunning = 0;
  for (let untilMs = 50; untilMs <= WITHIN_MS; untilMs += 50) {
    fleet.queue.runUntil(SETTLE_MS + untilMs);
    peakRunning = Math.max(peakRunning, fleet.work.runningOf(teamId));
  }
  return peakRunning / limit;
}

/** The fraction of a limit that is out of reach after one entry crashed while the log was down. */
export function strandedRatio(seed: number, limit: number, busyEntries: number): number {
  const fleet = new FleetSimulation(faultFreePlan(seed, [limit]));
  const teamId = fleet.teamIds[0] ?? '';
  fleet.queue.runUntil(SETTLE_MS);
  fleet.nodes
    .slice(0, busyEntries)
    .forEach((node) => fleet.work.setQueue(node, teamId, 10 * limit));
  fleet.queue.runUntil(SETTLE_MS + WITHIN_MS);
  fleet.platform.logDown = true;
  fleet.nodes[seed % ENTRIES]?.crash();
  fleet.queue.runUntil(SETTLE_MS + 3 * WITHIN_MS);
  const held = fleet.nodes
    .filter((node) => !node.crashed)
    .reduce((sum, node) => sum + node.ledger.holding(teamId), 0);
  return 1 - held / limit;
}
