/**
 * Runs one random schedule of faults against a model fleet in virtual time: outages and delays of
 * the connections to the log, network partitions, restarts, lost answers, expiry of records, and
 * concurrent patches. At the end all faults are cleared, and the state of the entries is compared
 * with the log.
 */
import { Random } from '@acaciadock/core';
import { canonicalJson, ConfigReducer, type PatchRecord } from '@acaciadock/config';
import { limitPatch, patchRecord, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM } from '@acaciadock/platform';
import { type SubmitOutcome } from '../PatchSubmitter.js';
import { ModelFleet } from './ModelFleet.js';

const ENTRIES = 4;
const STEPS = 40;
const STEP_MS = 100;
const RECOVERY_MS = 8_000;
const MAX_DELAY_MS = 1_500;
/** Far more frequent than in production, so that snapshots race with patches. */
const SNAPSHOTS = { periodMs: 700, maxRecords: 5, jitterMs: 300 };

export interface ScheduleVerdict {
  /** How often an entry served an older version after a newer one was in force everywhere. */
  readonly reverts: number;
  /** How often two entries had different documents of the same version. */
  readonly divergences: number;
  /** Number of answers to operators that the log contradicts. */
  readonly falseAnswers: number;
  /** Whether every entry ended with the state that results from the log. */
  readonly converged: boolean;
  readonly versions: number;
  readonly restarts: number;
}

interface Submission {
  readonly patchId: string;
  readonly outcome: SubmitOutcome;
}

export class FaultSchedule {
  private readonly random: Random;

  private readonly fleet: ModelFleet;

  private readonly submissions: Promise<Submission>[] = [];

  /** Every record that was ever appended, because the store drops expired records. */
  private readonly appendedRecords: unknown[] = [];

  private restarts = 0;

  private nextPatch = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
    const options = { entries: ENTRIES, initial: smallDocument(), snapshots: SNAPSHOTS };
    this.fleet = new ModelFleet(options, seed);
  }

  async run(): Promise<ScheduleVerdict> {
    const { fleet } = this;
    fleet.store.onAppend(() => this.recordAppended());
    await fleet.advance(STEP_MS);
    for (let step = 0; step < STEPS; step += 1) {
      this.injectFault();
      this.submit();
      await fleet.advance(STEP_MS);
    }
    this.clearFaults();
    await fleet.advance(RECOVERY_MS);
    const verdict = await this.verdict();
    fleet.dispose();
    return verdict;
  }

  private recordAppended(): void {
    this.fleet.store.records(CONFIG_STREAM).forEach(({ offset, payload }) => {
      if (offset >= this.appendedRecords.length) this.appendedRecords.push(payload);
    });
  }

  private injectFault(): void {
    const index = this.random.integer(0, ENTRIES - 1);
    const { faults } = this.fleet.entry(index).way;
    const actions = [
      () => Object.assign(faults, { down: true }),
      () => Object.assign(faults, { down: false }),
      () => Object.assign(faults, { delayMs: this.random.integer(0, MAX_DELAY_MS) }),
      () => Object.assign(faults, { delayMs: 0 }),
      () => Object.assign(faults, { loseAppendAnswers: 1 }),
      () => this.fleet.hub.setIsolated(`e${index}`, true),
      () => this.fleet.hub.setIsolated(`e${index}`, false),
      () => this.restart(index),
      () => this.expire(),
      () => this.expireAndRestart(index),
      () => this.setOutage(),
    ];
    if (this.random.chance(0.5)) this.random.pick(actions)?.();
  }

  private restart(index: number): void {
    this.restarts += 1;
    const { faults } = this.fleet.entry(index).way;
    Object.assign(this.fleet.restart(index).way.faults, faults);
  }

  /** Expires the records that the last snapshot includes, as retention does in normal operation. */
  private expire(): void {
    const records = this.fleet.store.records(CONFIG_STREAM);
    const snapshot = records.findLast(
      ({ payload }) => (payload as { kind: string }).kind === 'snapshot',
    );
    if (!snapshot) return;
    const { includedOffset } = snapshot.payload as { includedOffset: number };
    this.fleet.store.expireBefore(CONFIG_STREAM, includedOffset + 1);
  }

  private expireAndRestart(index: number): void {
    this.expire();
    this.restart(index);
  }

  private setOutage(): void {
    const down = this.random.chance(0.3);
    this.fleet.entries.forEach((entry) => Object.assign(entry.way.faults, { down }));
  }

  private submit(): void {
    if (!this.random.chance(0.4)) return;
    const entry = this.fleet.entry(this.random.integer(0, ENTRIES - 1));
    const record = this.patch(entry.follower.state().version);
    const submit = async (): Promise<Submission> => ({
      patchId: record.patchId,
      outcome: await entry.submitter.submit(record),
    });
    this.submissions.push(submit());
    // The same patch, submitted twice concurrently.
    if (this.random.chance(0.2)) this.submissions.push(submit());
  }

  private patch(baseVersion: number): PatchRecord {
    this.nextPatch += 1;
    const patchId = `p${this.nextPatch}`;
    if (this.random.chance(0.5)) return limitPatch(patchId, baseVersion, this.nextPatch);
    const value = this.random.pick(['p1', 'p2']);
    return patchRecord(patchId, baseVersion, [
      { op: 'replace', path: '/instances/i1/poolId', value },
    ]);
  }

  private clearFaults(): void {
    this.fleet.entries.forEach(({ entryId, way }) => {
      Object.assign(way.faults, { down: false, delayMs: 0, loseAppendAnswers: 0 });
      this.fleet.hub.setIsolated(entryId, false);
    });
  }

  private async verdict(): Promise<ScheduleVerdict> {
    const { violations, entries } = this.fleet;
    const reference = new ConfigReducer(smallDocument());
    this.appendedRecords.forEach((payload, offset) => reference.reduce(offset, payload));
    const text = canonicalJson(reference.state);
    const versions = this.expectedVersions();
    const submissions = await Promise.all(this.submissions);
    const followed = entries.every((entry) => canonicalJson(entry.follower.state()) === text);
    return {
      reverts: violations.filter(({ kind }) => kind === 'reverted').length,
      divergences: violations.filter(({ kind }) => kind === 'diverged').length,
      falseAnswers: submissions.filter((submission) =>
        FaultSchedule.contradictsLog(submission, versions),
      ).length,
      converged: followed && reference.state.version === versions.size,
      versions: versions.size,
      restarts: this.restarts,
    };
  }

  /**
   * The version that each patch must have created, computed independently of the reducer: the first
   * record of an id counts, and only if it is based on the version before. All patches of a
   * schedule are valid.
   */
  private expectedVersions(): ReadonlyMap<string, number> {
    const versions = new Map<string, number>();
    const read = new Set<string>();
    this.appendedRecords.forEach((payload) => {
      const record = payload as PatchRecord;
      if (record.kind !== 'patch' || read.has(record.patchId)) return;
      read.add(record.patchId);
      if (record.baseVersion === versions.size) versions.set(record.patchId, versions.size + 1);
    });
    return versions;
  }

  /** Whether the log contradicts the outcome that was reported to the operator. */
  private static contradictsLog(
    { patchId, outcome }: Submission,
    versions: ReadonlyMap<string, number>,
  ): boolean {
    const version = versions.get(patchId);
    if (outcome.kind === 'unknown') return false;
    if (outcome.kind === 'not-appended') return version !== undefined;
    const { verdict } = outcome;
    if (verdict.kind === 'refused') return version !== undefined;
    if (verdict.kind !== 'applied' && verdict.kind !== 'repeated') return true;
    return version !== verdict.version;
  }
}
