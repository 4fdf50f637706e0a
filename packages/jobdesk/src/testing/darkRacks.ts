/**
 * Plays one random schedule of racks that go dark right after starts, killed owners, targets that can't be
 * reached and losses of all power. Returns the violated guarantees, the jobs that wait for long after all
 * that, and what differs in the owner's accounts from the runs that are left.
 */
import { LONG_RUNNING_PREFIX } from '@acaciadock/coordinator/testing';
import { Random } from '@acaciadock/core';
import { DEFAULT_WORLD, JobWorld } from './JobWorld.js';

const RACK_COUNT = 4;
const TARGETS_PER_RACK = 3;
const LASTING_TASKS = 6;
const MAX_LOST = 3;
const FAULTY_MS = 20_000;
const PERIOD_MS = 100;

/** How long a rack stays dark, in milliseconds. */
const MIN_DARK_MS = 5_000;
const DARK_SPAN_MS = 2_000;

const MAX_RESTART_MS = 1_800;
const POWER_OFF_MS = 640;

/** A job may have nothing running for this long, after a calm of the other length, in milliseconds. */
const MAX_WAIT_MS = 3_000;
const CALM_MS = 4_000;

class DarkRackPlay {
  private readonly random: Random;

  private readonly world: JobWorld;

  private readonly findings = new Set<string>();

  private calmFromMs = 0;

  private jobCount = 0;

  private lostCount = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
    const count = RACK_COUNT * TARGETS_PER_RACK;
    // Targets come back under their ids, or others take their places.
    const hasFleet = seed % 2 === 0;
    this.world = new JobWorld({
      ...DEFAULT_WORLD,
      seed,
      entryCount: 4,
      targetCount: hasFleet ? 0 : count,
      targetsPerRack: TARGETS_PER_RACK,
      instanceCount: hasFleet ? count : 0,
      runtimeMs: 300 + this.random.next() * 1_500,
      failShare: 0.03,
    });
  }

  async run(): Promise<string[]> {
    const { world, random } = this;
    await world.run(1_500);
    this.submitLasting();
    for (let elapsedMs = 0; elapsedMs < FAULTY_MS; elapsedMs += PERIOD_MS) {
      if (random.chance(0.25)) this.submitJob();
      await world.run(random.integer(0, 2) * 5);
      if (random.chance(0.02)) this.darkenRack();
      if (random.chance(0.02))
        this.restart([world.ownerId() ?? ''], random.next() * MAX_RESTART_MS);
      if (random.chance(0.004)) this.restart([...world.entries.keys()], POWER_OFF_MS);
      if (random.chance(0.01)) this.cutTarget();
      await world.run(PERIOD_MS);
    }
    await world.runUntil(() => world.clock.monotonicMs() >= this.calmFromMs, 30_000);
    await world.run(CALM_MS);
    await this.followJobs();
    await world.run(1_500);
    this.checkAccounts();
    return [...world.observer.broken, ...this.findings];
  }

  private submitLasting(): void {
    const size = { cpuMilli: 500, memoryMb: 5_000, mostPerTarget: 1, mostUnavailable: 1 };
    const steps = [{ taskCount: LASTING_TASKS, longRunning: true, ...size }];
    void this.world.submit('lasting', { spec: LONG_RUNNING_PREFIX, steps });
  }

  private submitJob(): void {
    const { random, world } = this;
    this.jobCount += 1;
    const common = {
      cpuMilli: random.integer(3, 20) * 100,
      memoryMb: random.integer(1, 20) * 1_000,
      speculative: random.chance(0.2),
      mostPerTarget: random.chance(0.2) ? 1 : 0,
    };
    const [first = 1, second = 1] = [random.integer(1, 6), random.integer(1, 6)];
    const steps = [
      { ...common, taskCount: first },
      { ...common, taskCount: second, afterSteps: [0] },
    ];
    void world.submit(`j${this.jobCount}`, { steps });
  }

  /** Undoes a fault after this time, from which on the world may be calm. */
  private undoAfter(durationMs: number, undo: () => void): void {
    const { clock } = this.world;
    this.calmFromMs = Math.max(this.calmFromMs, clock.monotonicMs() + durationMs);
    clock.after(durationMs, undo);
  }

  private darkenRack(): void {
    const rack = this.random.integer(0, RACK_COUNT - 1);
    const dark = [...this.world.targets.values()].filter(({ targetId, isUp, isListed }) => {
      const index = Number(/\d+/.exec(targetId)?.[0]);
      return isUp && isListed && Math.floor(index / TARGETS_PER_RACK) === rack;
    });
    dark.forEach((target) => target.crash());
    // One of them may be gone for good.
    const isOneLost = this.lostCount < MAX_LOST && this.random.chance(0.4);
    const lost = isOneLost ? dark.pop() : undefined;
    if (lost) Object.assign(lost, { isListed: false });
    this.lostCount += lost ? 1 : 0;
    const durationMs = MIN_DARK_MS + this.random.next() * DARK_SPAN_MS;
    this.undoAfter(durationMs, () => dark.forEach((target) => target.recover()));
  }

  private restart(entryIds: readonly string[], durationMs: number): void {
    const known = entryIds.filter((entryId) => this.world.entries.has(entryId));
    known.forEach((entryId) => this.world.killEntry(entryId));
    this.undoAfter(durationMs, () => known.forEach((entryId) => this.world.startEntry(entryId)));
  }

  private cutTarget(): void {
    const targetId = this.random.pick([...this.world.targets.keys()]) ?? '';
    const cuts = [...this.world.entries.values()].map(({ portFaults }) => portFaults.cutTargets);
    cuts.forEach((cut) => cut.add(targetId));
    this.undoAfter(this.random.next() * MIN_DARK_MS, () => {
      cuts.forEach((cut) => cut.delete(targetId));
    });
  }

  /** Runs until all jobs but the lasting one have finished, and records those that wait too long. */
  private async followJobs(): Promise<void> {
    const lastRunMs = new Map<string, number>();
    const { world, findings } = this;
    for (let round = 0; round < 150; round += 1) {
      const nowMs = world.clock.monotonicMs();
      const up = [...world.targets.values()].filter(({ isUp }) => isUp);
      const names = up.flatMap(({ runningNames }) => runningNames);
      const open = this.openJobIds;
      if (open.length === 0) return;
      open.forEach((jobId) => {
        const isWaiting = !names.some((name) => name.startsWith(`${jobId}.`));
        const sinceMs = isWaiting ? (lastRunMs.get(jobId) ?? nowMs) : nowMs;
        lastRunMs.set(jobId, sinceMs);
        const hasRoom = names.length < up.length;
        if (hasRoom && nowMs - sinceMs > MAX_WAIT_MS) findings.add(`${jobId} waits`);
      });
      await world.run(200);
    }
    this.openJobIds.forEach((jobId) => findings.add(`${jobId} has not finished`));
  }

  private get openJobIds(): string[] {
    const jobs = this.world.owner?.ownedCoordinator?.jobs.activeJobs ?? [];
    return [...jobs].map(({ job }) => job.jobId).filter((jobId) => jobId !== 'lasting');
  }

  private checkAccounts(): void {
    const owner = this.world.owner?.ownedCoordinator;
    const targets = [...(owner?.targets.all ?? [])];
    const runs = targets.flatMap((target) => [...target.runs.values()]);
    const cpuMilli = runs.reduce((sum, { place }) => sum + place.step.spec.cpuMilli, 0);
    const { findings } = this;
    if (runs.length !== LASTING_TASKS) findings.add(`${runs.length} runs are left`);
    if (owner?.usage.usageOf('team').cpuMilli !== cpuMilli) findings.add('the usage is wrong');
    targets
      .filter((target) => target.countOfStep('lasting.0.0') !== target.runs.size)
      .forEach(({ targetId }) => findings.add(`the counts of ${targetId} are wrong`));
    targets
      .filter((target) => target.isListed && (target.isReserved || target.isIsolated))
      .forEach(({ targetId }) => findings.add(`${targetId} stays closed`));
  }
}

export function playDarkRacks(seed: number): Promise<string[]> {
  return new DarkRackPlay(seed).run();
}
