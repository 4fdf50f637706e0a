/**
 * Counts violations in a fleet: runs cut by a reboot, new work on a closed target after the grace
 * period, and services below their availability budget. It also makes the targets refuse work while
 * they are rebooted, which the instance control stand-in does not do.
 */
import { type Clock, Disposable, type InstanceId } from '@acaciadock/core';
import { type ConfigState } from '@acaciadock/config';
import { type Entry } from '@acaciadock/daemon';
import { type ControlEvent, type ControlStandIn, type TargetStandIn } from '@acaciadock/testkit';

/** Grace period in which new work may still reach a closed target. */
export const NEW_WORK_GRACE_MS = 3_000;
const SAMPLE_MS = 20;

/** When an instance was closed, that is, its intent changed from `serving` to another. */
interface Closing {
  readonly atMs: number;
  /** Number of runs that had started on the target by then. */
  readonly runsBefore: number;
}

export class FleetObserver extends Disposable {
  /** Runs in progress on a target at the moment of its reboot. */
  cutRuns = 0;

  /** Runs that started on a closed target more than `NEW_WORK_GRACE_MS` after it was closed. */
  lateRuns = 0;

  /** Longest time between closing a target and a later start of a run on it, in milliseconds. */
  longestLateMs = 0;

  /** Times that a service fell below its minimum number of serving instances. */
  budgetBreaches = 0;

  /** Maximum number of instances out of service at the same time. */
  maxOutOfService = 0;

  readonly rebooted: InstanceId[] = [];

  private readonly closings = new Map<InstanceId, Closing>();

  private readonly servicesBelowBudget = new Set<string>();

  private newestState: ConfigState;

  constructor(
    entries: readonly Entry[],
    private readonly targets: ReadonlyMap<InstanceId, TargetStandIn>,
    private readonly control: ControlStandIn,
    private readonly clock: Clock,
  ) {
    super();
    this.newestState = entries[0]?.follower.state() ?? ({} as ConfigState);
    entries.forEach((entry) => {
      this.register(entry.follower.onChange((state) => this.applyState(state)));
    });
    this.register(control.onStart((event) => this.handleRebootStart(event)));
    this.register(control.onEnd((event) => this.handleRebootEnd(event)));
    this.register(clock.every(SAMPLE_MS, () => this.sample()));
  }

  private applyState(state: ConfigState): void {
    if (state.version <= this.newestState.version) return;
    this.newestState = state;
    Object.entries(state.document.instances).forEach(([instanceId, { intent }]) => {
      const closing = this.closings.get(instanceId);
      if (intent === 'serving' && closing) this.handleReopening(instanceId, closing);
      if (intent === 'serving' || closing) return;
      const runsBefore = this.targets.get(instanceId)?.runs.length ?? 0;
      this.closings.set(instanceId, { atMs: this.clock.unixMs(), runsBefore });
    });
  }

  private handleReopening(instanceId: InstanceId, closing: Closing): void {
    this.closings.delete(instanceId);
    // Runs that start from now on don't count: other entries may have this version already.
    this.countLateRuns(instanceId, closing, this.clock.unixMs());
  }

  private countLateRuns(instanceId: InstanceId, closing: Closing, untilMs: number): void {
    const runs = this.targets.get(instanceId)?.runs.slice(closing.runsBefore) ?? [];
    runs
      .filter(({ startedAtMs }) => startedAtMs < untilMs)
      .forEach(({ startedAtMs }) => {
        const delayMs = startedAtMs - closing.atMs;
        this.longestLateMs = Math.max(this.longestLateMs, delayMs);
        if (delayMs > NEW_WORK_GRACE_MS) this.lateRuns += 1;
      });
  }

  /** Counts the late runs on targets that are still closed. Call it once, at the end. */
  finish(): void {
    this.closings.forEach((closing, instanceId) => {
      this.countLateRuns(instanceId, closing, this.clock.unixMs());
    });
    this.closings.clear();
  }

  /** Counts the runs that the reboot cuts; the target refuses work until the reboot has ended. */
  private handleRebootStart({ action, instanceId }: ControlEvent): void {
    const target = this.targets.get(instanceId);
    if (action !== 'reboot' || !target) return;
    this.cutRuns += target.running;
    target.leaving = true;
  }

  private handleRebootEnd({ action, instanceId }: ControlEvent): void {
    const target = this.targets.get(instanceId);
    if (action !== 'reboot' || !target) return;
    this.rebooted.push(instanceId);
    if (!this.control.faults.failing.has(instanceId)) target.leaving = false;
  }

  private sample(): void {
    const { document } = this.newestState;
    const serving = new Map<string, number>();
    let outOfService = 0;
    Object.entries(document.instances).forEach(([instanceId, { poolId, intent }]) => {
      const up = intent === 'serving' && this.targets.get(instanceId)?.leaving === false;
      if (up) serving.set(poolId, (serving.get(poolId) ?? 0) + 1);
      else outOfService += 1;
    });
    this.maxOutOfService = Math.max(this.maxOutOfService, outOfService);
    Object.entries(document.services).forEach(([serviceId, service]) => {
      const isBelowBudget = (serving.get(service.poolId) ?? 0) < service.minServingInstances;
      if (isBelowBudget && !this.servicesBelowBudget.has(serviceId)) this.budgetBreaches += 1;
      if (isBelowBudget) this.servicesBelowBudget.add(serviceId);
      else this.servicesBelowBudget.delete(serviceId);
    });
  }
}
