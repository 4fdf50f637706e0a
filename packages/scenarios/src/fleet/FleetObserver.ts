/**
 * Watches a fleet from outside and counts what must not happen: runs cut by a reboot, new work on
 * a closed target after the allowed time, and pools below their availability budget.
 */
import { type Clock, Disposable, type InstanceId } from '@acaciadock/core';
import { type ConfigState } from '@acaciadock/config';
import { type Entry } from '@acaciadock/daemon';
import { type ControlEvent, type ControlStandIn, type TargetStandIn } from '@acaciadock/testkit';

/** A target that leaves gets no new work after this time. */
export const NEW_WORK_LIMIT_MS = 3_000;
const SAMPLE_MS = 20;

interface Closing {
  readonly atMs: number;
  readonly runsBefore: number;
}

export class FleetObserver extends Disposable {
  /** Runs in progress on a target at the moment of its reboot. */
  cutRuns = 0;

  /** Runs begun on a closed target later than `NEW_WORK_LIMIT_MS` after the closing. */
  lateRuns = 0;

  /** Longest time from a closing to a run that began after it, in milliseconds. */
  longestLateMs = 0;

  /** Pools that fell below their least number of serving instances, counted once each time. */
  budgetBreaches = 0;

  /** Most instances out of service at one time. */
  mostOut = 0;

  readonly rebooted: InstanceId[] = [];

  private readonly closings = new Map<InstanceId, Closing>();

  private readonly short = new Set<string>();

  private newest: ConfigState;

  constructor(
    entries: readonly Entry[],
    private readonly targets: ReadonlyMap<InstanceId, TargetStandIn>,
    private readonly control: ControlStandIn,
    private readonly clock: Clock,
  ) {
    super();
    this.newest = entries[0]?.follower.state() ?? ({} as ConfigState);
    entries.forEach((entry) => {
      this.register(entry.follower.onChange((state) => this.changed(state)));
    });
    this.register(control.onStart((event) => this.rebootBegins(event)));
    this.register(control.onEnd((event) => this.rebootEnds(event)));
    this.register(clock.every(SAMPLE_MS, () => this.sample()));
  }

  private changed(state: ConfigState): void {
    if (state.version <= this.newest.version) return;
    this.newest = state;
    Object.entries(state.document.instances).forEach(([instanceId, { intent }]) => {
      const closing = this.closings.get(instanceId);
      if (intent === 'serving' && closing) this.opened(instanceId, closing);
      if (intent === 'serving' || closing) return;
      const runsBefore = this.targets.get(instanceId)?.runs.length ?? 0;
      this.closings.set(instanceId, { atMs: this.clock.unixMs(), runsBefore });
    });
  }

  private opened(instanceId: InstanceId, closing: Closing): void {
    this.closings.delete(instanceId);
    // Runs of another entry that already knows the newer version may begin at this very moment.
    this.countLate(instanceId, closing, this.clock.unixMs());
  }

  private countLate(instanceId: InstanceId, closing: Closing, untilMs: number): void {
    const runs = this.targets.get(instanceId)?.runs.slice(closing.runsBefore) ?? [];
    runs
      .filter(({ startedAtMs }) => startedAtMs < untilMs)
      .forEach(({ startedAtMs }) => {
        const lateMs = startedAtMs - closing.atMs;
        this.longestLateMs = Math.max(this.longestLateMs, lateMs);
        if (lateMs > NEW_WORK_LIMIT_MS) this.lateRuns += 1;
      });
  }

  /** Takes in the closings that are still open. */
  finish(): void {
    this.closings.forEach((closing, instanceId) => {
      this.countLate(instanceId, closing, this.clock.unixMs());
    });
    this.closings.clear();
  }

  private rebootBegins({ action, instanceId }: ControlEvent): void {
    const target = this.targets.get(instanceId);
    if (action !== 'reboot' || !target) return;
    this.cutRuns += target.running;
    target.leaving = true;
  }

  private rebootEnds({ action, instanceId }: ControlEvent): void {
    const target = this.targets.get(instanceId);
    if (action !== 'reboot' || !target) return;
    this.rebooted.push(instanceId);
    if (!this.control.faults.failing.has(instanceId)) target.leaving = false;
  }

  private sample(): void {
    const { document } = this.newest;
    const serving = new Map<string, number>();
    let out = 0;
    Object.entries(document.instances).forEach(([instanceId, { poolId, intent }]) => {
      const up = intent === 'serving' && this.targets.get(instanceId)?.leaving === false;
      if (up) serving.set(poolId, (serving.get(poolId) ?? 0) + 1);
      else out += 1;
    });
    this.mostOut = Math.max(this.mostOut, out);
    Object.entries(document.services).forEach(([serviceId, service]) => {
      const isShort = (serving.get(service.poolId) ?? 0) < service.minServingInstances;
      if (isShort && !this.short.has(serviceId)) this.budgetBreaches += 1;
      if (isShort) this.short.add(serviceId);
      else this.short.delete(serviceId);
    });
  }
}
