/**
 * Injects the faults of a run: at random for each request at the targets, and in rounds of two
 * random faults at a time at the log, the entries and the fleet (targets that are drained).
 */
import { type Random } from '@acaciadock/core';
import { type EntryFleet } from '@acaciadock/scenarios';
import { type TargetBehaviour } from '@acaciadock/testkit';

const ROUND_MS = 1_500;
const LOG_OUTAGE_MS = 700;
const ENTRY_DOWN_MS = 400;
const DRAIN_MS = 700;
const MAX_RUN_MS = 4;

interface BehaviourFrequency {
  readonly behaviour: TargetBehaviour;
  /** Fraction of the requests that the target handles in this way. */
  readonly part: number;
}

const BEHAVIOURS: readonly BehaviourFrequency[] = [
  { behaviour: 'cut-before-run', part: 0.005 },
  { behaviour: 'cut-after-run', part: 0.005 },
  { behaviour: 'cut-midway', part: 0.005 },
  { behaviour: 'cut-chunks', part: 0.003 },
  { behaviour: 'no-length', part: 0.002 },
  { behaviour: 'crossed', part: 0.004 },
  { behaviour: 'crossed-refusal', part: 0.004 },
  { behaviour: 'silent', part: 0.002 },
  { behaviour: 'stall', part: 0.002 },
  { behaviour: 'refuse', part: 0.01 },
  { behaviour: 'fail-fast', part: 0.01 },
  { behaviour: 'slow', part: 0.01 },
  { behaviour: 'answer-chunked', part: 0.2 },
];

export interface FaultCounts {
  kills: number;
  outages: number;
  lostAppends: number;
  drains: number;
}

export class FaultInjector {
  readonly counts: FaultCounts = { kills: 0, outages: 0, lostAppends: 0, drains: 0 };

  private ended = false;

  constructor(
    private readonly fleet: EntryFleet,
    private readonly random: Random,
  ) {}

  /** Makes the targets misbehave at random from now on. */
  injectTargetFaults(): void {
    this.fleet.targets.forEach((target) => {
      Object.assign(target, {
        behave: () => this.behaviour(),
        runMs: () => this.random.integer(0, MAX_RUN_MS),
      });
    });
  }

  /** Runs rounds of faults until `end` is called; resolves when the last round is over. */
  async run(): Promise<void> {
    while (!this.ended) {
      const faults = this.random.shuffle([
        () => this.killEntry(),
        () => this.takeLogDown(),
        () => this.loseAppendAnswers(),
        () => this.drainTarget(),
      ]);
      await Promise.all(faults.slice(0, 2).map((fault) => fault()));
      await this.fleet.clock.sleep(ROUND_MS);
    }
  }

  end(): void {
    this.ended = true;
  }

  private behaviour(): TargetBehaviour {
    let left = this.random.next();
    for (const { behaviour, part } of BEHAVIOURS) {
      left -= part;
      if (left < 0) return behaviour;
    }
    return 'answer';
  }

  private async killEntry(): Promise<void> {
    const index = this.random.integer(0, this.fleet.entries.length - 1);
    this.counts.kills += 1;
    this.fleet.kill(index);
    await this.fleet.clock.sleep(ENTRY_DOWN_MS);
    await this.fleet.replace(index);
  }

  private async takeLogDown(): Promise<void> {
    this.counts.outages += 1;
    Object.assign(this.fleet.log.faults, { down: true });
    await this.fleet.clock.sleep(LOG_OUTAGE_MS);
    Object.assign(this.fleet.log.faults, { down: false });
  }

  /** Makes the log drop its answers to the next appends, although it stores the records. */
  private loseAppendAnswers(): Promise<void> {
    const lost = this.random.integer(1, 5);
    this.counts.lostAppends += lost;
    this.fleet.log.faults.loseAppendAnswers += lost;
    return Promise.resolve();
  }

  private async drainTarget(): Promise<void> {
    const target = this.random.pick(this.fleet.targets);
    if (!target) return;
    this.counts.drains += 1;
    const path = `/instances/${target.targetId}/intent`;
    target.leaving = true;
    await this.fleet.patch([{ op: 'replace', path, value: 'draining' }]);
    await this.fleet.clock.sleep(DRAIN_MS);
    target.leaving = false;
    await this.fleet.patch([{ op: 'replace', path, value: 'serving' }]);
  }
}
