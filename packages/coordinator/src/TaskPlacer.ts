/**
 * Places the waiting tasks of a step on the targets that the chooser selects, within the limit of
 * the team. The tasks of a gang are placed together or not at all. Each placement is journaled
 * before its start order is sent.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { type AdviceRule, type JobsConfigView, type TaskState } from '@acaciadock/jobs';
import {
  type PlacementRequest,
  QueueOrder,
  type RejectedSizes,
  TargetChooser,
} from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type QueuedStep } from './QueuedStep.js';
import { type RunTracker } from './RunTracker.js';
import { SuspectIsolation } from './SuspectIsolation.js';
import { type TeamUsage } from './TeamUsage.js';
import { type TicketCache } from './TicketCache.js';

/** `placed` if no task of the step that may start now is still waiting; otherwise the reason. */
export type PlaceOutcome = 'placed' | 'no-room' | 'team-limit';

export interface TaskPlacerDeps {
  readonly usage: TeamUsage;
  readonly runTracker: RunTracker;
  readonly tickets: TicketCache;
  readonly demand: DemandMeter;
  readonly isolation: SuspectIsolation;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class TaskPlacer extends Disposable {
  private readonly placedEmitter = this.register(new EventEmitter<LiveRun>());

  /** Fires when a planned run is durable, so that its start order may be sent. */
  readonly onPlaced = this.placedEmitter.event;

  constructor(private readonly deps: TaskPlacerDeps) {
    super();
  }

  /** Places as many waiting tasks of the step as there is room for. */
  placeStep(
    open: QueuedStep,
    targets: readonly FleetTarget[],
    rejectedSizes: RejectedSizes,
  ): PlaceOutcome {
    const placed: LiveRun[] = [];
    const isSuspectWaiting = this.placeSuspects(open, targets, placed);
    const shared = this.deps.isolation.shared(targets);
    const outcome = this.placeOthers(open, shared, rejectedSizes, placed);
    // With an advice rule, a target may have room and still not be permitted.
    if (outcome === 'no-room' && !this.adviceFor(open)) rejectedSizes.note(open.step.spec);
    if (placed.length > 0) this.logPlaced(open, placed, targets.length);
    return outcome === 'placed' && isSuspectWaiting ? 'no-room' : outcome;
  }

  private placeOthers(
    open: QueuedStep,
    targets: readonly FleetTarget[],
    rejectedSizes: RejectedSizes,
    placed: LiveRun[],
  ): PlaceOutcome {
    if (open.step.spec.gang) return this.placeGang(open, targets, placed);
    const waiting = open.step.waitingTasks.filter((task) => !task.isSuspect);
    if (waiting.length === 0) return 'placed';
    if (rejectedSizes.excludes(open.step.spec)) return 'no-room';
    return this.placeTasks(open, waiting, targets, placed);
  }

  /**
   * Places the suspects among the waiting tasks on targets that are kept for suspects. The members of
   * a gang can't be kept apart, so they are placed like any other gang. Returns whether a suspect
   * waits for which no target could be kept, so that the pool needs more room.
   */
  private placeSuspects(
    open: QueuedStep,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): boolean {
    if (open.step.spec.gang) return false;
    const nowMs = this.deps.clock.monotonicMs();
    const suspects = open.step.waitingTasks.filter(
      (task) => task.isSuspect && task.notBeforeMs <= nowMs,
    );
    // The tasks of a step need the same, so if one finds no target, the others find none either.
    for (const task of suspects) {
      const live = this.placeSuspect(open, task, targets);
      if (!live) break;
      placed.push(live);
    }
    const waiting = suspects.find((task) => task.isWaiting);
    if (!waiting || !this.teamAllows(open, 1)) return false;
    return !SuspectIsolation.hasTargetFor(TaskPlacer.requestFor(open, waiting, ''), targets);
  }

  private placeSuspect(
    open: QueuedStep,
    task: TaskState,
    targets: readonly FleetTarget[],
  ): LiveRun | undefined {
    if (!this.teamAllows(open, 1)) return undefined;
    const request = TaskPlacer.requestFor(open, task, '');
    const permitted = this.permittedFor(open, request, targets);
    const target = this.deps.isolation.targetFor(open.entry.job, request, permitted);
    return target && this.plan(open, task, target);
  }

  /**
   * The targets that the advice rule of the queue permits. Asks for advice about others while none of
   * these has room.
   */
  private permittedFor(
    open: QueuedStep,
    request: PlacementRequest,
    targets: readonly FleetTarget[],
  ): readonly FleetTarget[] {
    if (!this.adviceFor(open)) return targets;
    const { tickets } = this.deps;
    const permitted = tickets.allowed(open.step.stepId, targets);
    if (permitted.some((target) => TargetChooser.fits(target, request))) return permitted;
    const fitting = targets.filter((target) => TargetChooser.fits(target, request));
    tickets.request(open.step.stepId, fitting.length > 0 ? fitting : targets);
    return permitted;
  }

  /** Plans a second run of the task on one of the targets; undefined if there is no room. */
  placeCopy(
    open: QueuedStep,
    task: TaskState,
    targets: readonly FleetTarget[],
  ): LiveRun | undefined {
    if (task.isSuspect) return this.placeSuspect(open, task, targets);
    if (!this.teamAllows(open, 1)) return undefined;
    const target = this.choose(open, task, this.deps.isolation.shared(targets), '');
    return target && this.plan(open, task, target);
  }

  private placeTasks(
    open: QueuedStep,
    tasks: readonly TaskState[],
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    const nowMs = this.deps.clock.monotonicMs();
    for (const task of tasks) {
      if (task.notBeforeMs > nowMs) continue;
      const outcome = this.placeTask(open, task, targets, placed);
      if (outcome !== 'placed') return outcome;
    }
    return 'placed';
  }

  private logPlaced(open: QueuedStep, placed: readonly LiveRun[], openTargets: number): void {
    const nowUnixMs = this.deps.clock.unixMs();
    this.deps.logger.info('tasks-placed', {
      jobId: open.entry.job.jobId,
      stepId: open.step.stepId,
      urgency: QueueOrder.urgencyOf(open, nowUnixMs),
      toObjectiveMs: Math.round(open.objectiveUnixMs - nowUnixMs),
      remainingMs: Math.round(open.remainingMs),
      openTargets,
      runs: placed.map((live) => `${live.place.task.index}#${live.run}@${live.targetId}`).join(' '),
    });
  }

  private placeTask(
    open: QueuedStep,
    task: TaskState,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    if (!this.teamAllows(open, 1)) return 'team-limit';
    const target = this.choose(open, task, targets, '');
    if (!target) return 'no-room';
    placed.push(this.plan(open, task, target));
    return 'placed';
  }

  /** Whether the limit of the team leaves room for so many tasks of the step. */
  teamAllows({ entry, step }: QueuedStep, taskCount: number): boolean {
    const { teamId } = entry.job.definition;
    const limit = this.deps.config().team(teamId)?.limit;
    return this.deps.usage.allows(teamId, step.spec, limit, taskCount);
  }

  private choose(
    open: QueuedStep,
    task: TaskState,
    targets: readonly FleetTarget[],
    onlyRackId: string,
  ): FleetTarget | undefined {
    const request = TaskPlacer.requestFor(open, task, onlyRackId);
    const work = this.deps.demand.workOf(targets[0]?.poolId ?? '');
    if (!this.adviceFor(open)) return TargetChooser.choose(targets, request, work);
    const fitting = targets.filter((target) => TargetChooser.fits(target, request));
    const allowed = this.deps.tickets.allowed(open.step.stepId, fitting);
    if (allowed.length === 0) {
      this.deps.tickets.request(open.step.stepId, fitting);
      return undefined;
    }
    return TargetChooser.choose(allowed, request, work);
  }

  private static requestFor(
    { step }: QueuedStep,
    { avoidTargetId }: TaskState,
    onlyRackId: string,
  ): PlacementRequest {
    return { step: step.spec, stepId: step.stepId, avoidTargetId, onlyRackId };
  }

  private adviceFor({ entry }: QueuedStep): AdviceRule | undefined {
    return this.deps.config().queue(entry.job.definition.queueId)?.advice;
  }

  private plan(open: QueuedStep, task: TaskState, target: FleetTarget): LiveRun {
    const { entry, occurrence, step } = open;
    const place = { job: entry.job, occurrence, step, task };
    const live = this.deps.runTracker.plan(place, target);
    live.ticket = this.deps.tickets.ticketFor(step.stepId, target);
    void this.deps.runTracker.journal(place).then((outcome) => {
      if (outcome === 'durable') this.placedEmitter.fire(live);
    });
    return live;
  }

  /**
   * Places all members of a gang or none, with the same run number and checkpoint. A gang starts
   * again only once all its members have ended; until then, it lacks no room and needs no instance,
   * so the outcome is `placed`.
   */
  private placeGang(
    open: QueuedStep,
    targets: readonly FleetTarget[],
    placed: LiveRun[],
  ): PlaceOutcome {
    const { step } = open;
    if (!step.tasks.every((task) => task.isWaiting)) return 'placed';
    if (!this.teamAllows(open, step.tasks.length)) return 'team-limit';
    const racks = step.spec.sameRack ? [...new Set(targets.map((target) => target.rackId))] : [''];
    for (const rackId of racks) {
      const members = this.placeGangIn(open, targets, rackId);
      if (members.length === 0) continue;
      placed.push(...members);
      return 'placed';
    }
    return 'no-room';
  }

  private placeGangIn(
    open: QueuedStep,
    targets: readonly FleetTarget[],
    rackId: string,
  ): readonly LiveRun[] {
    const { step } = open;
    const lastRun = Math.max(...step.tasks.map((task) => task.lastRun));
    const checkpoint =
      step.tasks
        .map((task) => task.checkpoint)
        .sort()
        .at(-1) ?? '';
    const placed: LiveRun[] = [];
    for (const task of step.tasks) {
      const target = this.choose(open, task, targets, rackId);
      if (!target) {
        placed.forEach((live) => this.deps.runTracker.stop(live));
        return [];
      }
      Object.assign(task, { lastRun, checkpoint });
      placed.push(this.plan(open, task, target));
    }
    return placed;
  }
}
