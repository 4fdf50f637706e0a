/**
 * Plays a random schedule of ends, starts and outages over the entries alone, without any job, and returns
 * what violated the guarantee that somebody owns the journal: once the store is reachable and an entry
 * is up, there is an owner within the bound, and it stays.
 */
import { Random } from '@acaciadock/core';
import { type StoreFaults } from '@acaciadock/coordinator/testing';
import { CALM_STORE } from './calmStore.js';
import { DEFAULT_WORLD, JobWorld } from './JobWorld.js';

const DISTURBED_MS = 15_000;
const MAX_PAUSE_MS = 1_500;
const CALL_PERIOD_MS = 200;

/** Fastest and slowest start of the next process of an entry, in milliseconds. */
const MIN_RESTART_MS = 5;
const MAX_RESTART_MS = 4_000;

const MAX_OUTAGE_MS = 5_000;
const MAX_FREEZE_MS = 4_000;
const MAX_ENTRIES = 5;

/**
 * Bound on the time without an owner after the last disturbance, in milliseconds: 3 s until an entry counts
 * as in touch again, and the 3 s for which a job that could run may have nothing running.
 */
const OWNER_BOUND_MS = 6_000;

/** Time for a handover to a much stronger entry, after which the owner stays, in milliseconds. */
const HANDOVER_MS = 5_000;
const STEADY_MS = 6_000;

/** CPU capacities of the entries, in thousandths of a core. */
const CPU_MILLI = [324, 675, 675, 1_350];

const OUTAGES: readonly Partial<StoreFaults>[] = [
  { isDown: true },
  { isSilent: true },
  { isResetting: true },
  { lostAnswerShare: 0.3 },
  { latencyMs: 100 },
  { latencyMs: 900 },
];

type Disturbance = (schedule: EntrySchedule) => void;

class EntrySchedule {
  readonly world: JobWorld;

  /** What was done, for the report of a failure. */
  readonly steps: string[] = [];

  private pendingStarts = 0;

  constructor(
    readonly random: Random,
    seed: number,
  ) {
    this.world = new JobWorld({ ...DEFAULT_WORLD, seed, entryCount: 0, targetCount: 0 });
    const count = random.integer(1, MAX_ENTRIES);
    for (let index = 0; index < count; index += 1) this.start(`e${index}`);
    // A call that finds no coordinator looks up the owner, on a random share of the entries.
    const callShare = random.next();
    this.world.clock.every(CALL_PERIOD_MS, () => {
      this.world.entries.forEach((entry) => {
        if (!entry.isOwner && random.chance(callShare)) void entry.refreshOwner();
      });
    });
  }

  start(entryId: string): void {
    this.world.startEntry(entryId, this.random.pick(CPU_MILLI));
  }

  /** Ends a process without notice; its entry comes back unless the machine is gone for good. */
  kill(entryId: string): void {
    if (!this.world.entries.has(entryId)) return;
    this.note(`kill ${entryId}`);
    this.world.killEntry(entryId);
    this.restart(entryId);
  }

  /** A planned stop, as far as it gets before the process ends. */
  stop(entryId: string): void {
    const process = this.world.entries.get(entryId);
    if (!process) return;
    this.note(`stop ${entryId}`);
    void process.leave();
    this.world.clock.after(this.random.next() * 2_000, () => {
      if (this.world.entries.get(entryId) !== process) return;
      this.world.killEntry(entryId);
      this.restart(entryId);
    });
  }

  freeze(entryId: string): void {
    this.note(`freeze ${entryId}`);
    const clock = this.world.entries.get(entryId)?.clock;
    clock?.pause(this.random.chance(0.5));
    this.world.clock.after(this.random.next() * MAX_FREEZE_MS, () => clock?.resume());
  }

  /** Makes the store unavailable to all entries, or to one. */
  disturbStore(entryId?: string): void {
    const { faults } = this.world.store;
    const found = entryId === undefined ? faults : this.world.entries.get(entryId)?.storeFaults;
    const outage = this.random.pick(OUTAGES) ?? {};
    this.note(`${JSON.stringify(outage)} for ${entryId ?? 'all'}`);
    Object.assign(found ?? {}, outage);
    this.world.clock.after(this.random.next() * MAX_OUTAGE_MS, () => {
      Object.assign(found ?? {}, CALM_STORE);
    });
  }

  randomEntry(): string {
    const { random, world } = this;
    const ownerId = world.ownerId();
    if (ownerId !== undefined && random.chance(0.5)) return ownerId;
    return random.pick([...world.entries.keys()]) ?? 'e0';
  }

  get isDark(): boolean {
    return this.world.entries.size === 0 && this.pendingStarts === 0;
  }

  note(step: string): void {
    this.steps.push(`${Math.round(this.world.clock.monotonicMs())} ${step}`);
  }

  private restart(entryId: string): void {
    const { random, world } = this;
    const isGone = random.chance(0.2) && world.entries.size + this.pendingStarts > 0;
    if (isGone) return;
    this.pendingStarts += 1;
    const delayMs = MIN_RESTART_MS + random.next() ** 2 * MAX_RESTART_MS;
    world.clock.after(delayMs, () => {
      this.pendingStarts -= 1;
      this.note(`start ${entryId}`);
      this.start(entryId);
    });
  }
}

const DISTURBANCES: readonly Disturbance[] = [
  (schedule) => schedule.kill(schedule.randomEntry()),
  (schedule) => schedule.kill(schedule.randomEntry()),
  (schedule) => schedule.stop(schedule.randomEntry()),
  (schedule) => schedule.freeze(schedule.randomEntry()),
  (schedule) => schedule.disturbStore(),
  (schedule) => schedule.disturbStore(schedule.randomEntry()),
  (schedule) => {
    // A loss of all power, during which the store may be away, too.
    if (schedule.random.chance(0.5)) schedule.disturbStore();
    [...schedule.world.entries.keys()].forEach((entryId) => schedule.kill(entryId));
  },
  (schedule) => {
    schedule.note('expire');
    schedule.world.store.expireMembers();
  },
];

async function disturb(schedule: EntrySchedule): Promise<void> {
  const { world, random } = schedule;
  const untilMs = world.clock.monotonicMs() + DISTURBED_MS;
  while (world.clock.monotonicMs() < untilMs) {
    random.pick(DISTURBANCES)?.(schedule);
    await world.run(random.next() * MAX_PAUSE_MS);
  }
  // Outages, freezes, stops and starts that are under way come to their end.
  await world.run(2_000 + MAX_RESTART_MS);
}

/** Returns what was violated by the schedule of this seed, with its steps; undefined if nothing was. */
export async function playEntrySchedule(seed: number): Promise<string | undefined> {
  const schedule = new EntrySchedule(new Random(seed), seed);
  const { world } = schedule;
  await world.run(1_500);
  await disturb(schedule);
  if (schedule.isDark) schedule.start('late');
  Object.assign(world.store.faults, CALM_STORE);
  world.entries.forEach(({ storeFaults, clock }) => {
    Object.assign(storeFaults, { ...CALM_STORE, latencyMs: 0 });
    clock.resume();
  });
  const history = (): string => schedule.steps.join('; ');
  const isOwned = await world.runUntil(() => world.owner !== undefined, OWNER_BOUND_MS);
  if (!isOwned) return `nobody owns the journal: ${history()}`;
  await world.run(HANDOVER_MS);
  const ownerId = world.ownerId();
  const hasChanged = await world.runUntil(() => world.ownerId() !== ownerId, STEADY_MS);
  return hasChanged
    ? `${ownerId ?? 'nobody'} and then ${world.ownerId()}: ${history()}`
    : undefined;
}
