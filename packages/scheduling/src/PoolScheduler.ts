/**
 * All decisions of one pool at its home, without I/O: which tickets are taken, in which order they
 * run and on which target. The dispatcher feeds it and sends what it decides.
 */
import {
  type Clock,
  type CreditSource,
  type InstanceId,
  type ServiceId,
  type TargetId,
  type TeamId,
  type Urgency,
} from '@acaciadock/core';
import { type ServiceConfig } from '@acaciadock/config';
import { type GrantOutcome, type Ticket } from '@acaciadock/peers';
import {
  admit,
  type AdmissionDecision,
  type Capacity,
  highestWaitMs,
  mayWaitMsOf,
  predictedWaitMs,
} from './Admission.js';
import { DeadlineIndex } from './DeadlineIndex.js';
import { type HealthPolicy } from './HealthPolicy.js';
import { PoolTargets } from './PoolTargets.js';
import { type PoolView } from './PoolView.js';
import { PreemptionChoice } from './PreemptionChoice.js';
import { type EstimateOf, type QueueDiscipline } from './QueueDiscipline.js';
import { QueuedCounts } from './QueuedCounts.js';
import { RestingTargets } from './RestingTargets.js';
import { RetryBudgets } from './RetryBudgets.js';
import { type RunTimeEstimator } from './RunTimeEstimator.js';
import { type SchedulingPolicy, schedulingPolicyOf } from './SchedulingPolicy.js';
import {
  type Placement,
  type Refusal,
  type WaitingTicket,
  waitingTicketOf,
} from './WaitingTicket.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;
/** A ticket older than this on arrival was taken by an earlier home already. */
const RESENT_AGE_MS = 1_000;
/** For how long work is expected to go on to arrive as of late. */
const ARRIVALS_HORIZON_MS = 2_500;
type RunEnd = GrantOutcome | 'lapsed';
const FAILURES: ReadonlySet<RunEnd> = new Set(['failed', 'unreachable', 'unknown']);
const NO_START: ReadonlySet<RunEnd> = new Set(['target-refused', 'unreachable']);
/** Ends that say nothing on whether the target works again. */
const NO_TRIAL: ReadonlySet<RunEnd> = new Set(['not-started', 'target-refused', 'lapsed']);

export interface PoolSchedulerParts {
  readonly queueOf: (estimateOf: EstimateOf) => QueueDiscipline<WaitingTicket>;
  readonly health: HealthPolicy;
  readonly estimator: RunTimeEstimator;
}

export class PoolScheduler {
  readonly targets = new PoolTargets();

  private readonly queue: QueueDiscipline<WaitingTicket>;

  /** How long such a run is expected to take now, in milliseconds. */
  private readonly estimateOf: EstimateOf = (kind) =>
    this.estimator.estimateMs(kind, this.view.services.get(kind.serviceId)?.declaredRunMs ?? 0);

  private readonly health: HealthPolicy;

  private readonly estimator: RunTimeEstimator;

  private readonly deadlines = new DeadlineIndex();

  private readonly counts = new QueuedCounts();

  private readonly resting: RestingTargets;

  private readonly preemption = new PreemptionChoice();

  private readonly budgets = new RetryBudgets();

  /** Teams left out till a slot is freed that fits their first ticket. */
  private readonly deferred = new Set<TeamId>();

  /** Teams left out till they may have credits again. */
  private readonly limited = new Set<TeamId>();

  /** Tickets whose deadline passed while they waited, till they are told. */
  private readonly expired: WaitingTicket[] = [];

  private policy: SchedulingPolicy;

  constructor(
    private view: PoolView,
    parts: PoolSchedulerParts,
    private readonly clock: Clock,
  ) {
    this.queue = parts.queueOf(this.estimateOf);
    this.health = parts.health;
    this.estimator = parts.estimator;
    this.resting = new RestingTargets(this.targets);
    this.policy = schedulingPolicyOf(view.policy);
    this.configure(view);
  }

  /** Tickets that wait. */
  get size(): number {
    return this.queue.size;
  }

  configure(view: PoolView): void {
    this.view = view;
    this.policy = schedulingPolicyOf(view.policy);
    this.targets.configure(view.instances);
    const { size } = view.instances;
    this.health.configure(
      this.targets.targetIds(),
      Math.floor(size * this.policy.maxEjectedRatio + Number.EPSILON),
    );
    this.estimator.retain((serviceId, teamId) => this.isKnown(serviceId, teamId));
    this.budgets.retain((serviceId) => view.services.has(serviceId));
    this.configureQueue();
    this.resumeDeferred();
  }

  setLeaving(leaving: ReadonlySet<InstanceId>): void {
    this.targets.setLeaving(leaving);
    this.configureQueue();
    this.resumeDeferred();
  }

  /** Queues a ticket; a refusal says why it will not run. Call once for each ticket. */
  offer(ticket: Ticket, gatewayEntryId: string): Refusal | undefined {
    const service = this.view.services.get(ticket.serviceId);
    if (!service || !this.targets.fits(service.accelerators)) {
      return { reason: 'no-target-fits', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const limit = this.view.teams.get(ticket.teamId)?.limit ?? 0;
    if (limit === 0) return { reason: 'team-limit-zero', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    const item = waitingTicketOf(ticket, gatewayEntryId);
    this.queue.arrive(item, this.clock.unixMs());
    if (this.counts.of(item) >= service.maxQueuedPerTeam) {
      return { reason: 'queue-full', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const admission = this.admissionOf(item, service, limit);
    if (admission.kind === 'late') {
      return { reason: 'deadline-unreachable', retryAfterMs: admission.retryAfterMs };
    }
    if (!this.budgets.admit(ticket.serviceId, ticket.attempt, service.retryBudgetRatio)) {
      return { reason: 'retry-budget-spent', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    this.requeue(item);
    return undefined;
  }

  /** Undoes a placement whose grant was not sent: it costs the team nothing. */
  undo(placement: Placement): void {
    this.queue.end(placement.waiting, placement.chargedMs, 0);
    this.freeSlot(placement);
    this.health.abandonTrial(placement.targetId, this.clock.monotonicMs());
  }

  /** Queues a ticket that was taken before, without admission. */
  requeue(waiting: WaitingTicket): void {
    this.queue.push(waiting);
    this.deadlines.add(waiting.ticketId, waiting.ticket.deadlineAtMs);
    this.counts.add(waiting, 1);
  }

  /** Takes a waiting ticket out; undefined if it does not wait here. */
  cancel(ticketId: string): WaitingTicket | undefined {
    const waiting = this.queue.remove(ticketId);
    if (!waiting) return undefined;
    this.deadlines.remove(ticketId, waiting.ticket.deadlineAtMs);
    this.counts.add(waiting, -1);
    return waiting;
  }

  /** Takes out the waiting tickets whose deadline has passed. */
  takeExpired(): WaitingTicket[] {
    this.deadlines.takePast(this.clock.unixMs()).forEach((ticketId) => {
      const waiting = this.queue.get(ticketId);
      if (waiting) this.expire(waiting);
    });
    return this.expired.splice(0);
  }

  waitingTickets(): WaitingTicket[] {
    return this.queue.items();
  }

  /** Puts the next ticket on a target, as turn, credits and slots allow. */
  next(credits: CreditSource): Placement | undefined {
    const nowMs = this.clock.unixMs();
    while (this.targets.hasRoom) {
      const waiting = this.queue.peek(nowMs, this.backgroundMayStart());
      if (!waiting) return undefined;
      if (waiting.ticket.deadlineAtMs <= nowMs) {
        this.expire(waiting);
        continue;
      }
      const targetId = this.pickTarget(waiting);
      if (targetId === undefined) this.defer(waiting.teamId);
      else {
        const creditUse = credits.tryAcquire(waiting.teamId);
        if (creditUse) return this.place(waiting, targetId, creditUse);
        this.queue.park(waiting.teamId);
        this.limited.add(waiting.teamId);
        credits.want(waiting.teamId, this.queue.backlog(waiting.teamId, 'background').tickets);
      }
    }
    return undefined;
  }

  /** The team may have credits again. */
  resumeTeam(teamId: TeamId): void {
    this.limited.delete(teamId);
    if (!this.deferred.has(teamId)) this.queue.unpark(teamId);
  }

  /** The run of a placement ended, or its lease lapsed: frees the slot and learns. */
  end(placement: Placement, outcome: RunEnd): void {
    const { waiting, targetId } = placement;
    const nowMs = this.clock.monotonicMs();
    const heldMs = nowMs - placement.startedAtMs;
    const wasPreempted = this.preemption.wasPreempted(placement);
    // A slot that waited for a lease to lapse did its team no good: the estimate stands.
    const usedMs = outcome === 'lapsed' ? placement.chargedMs : heldMs;
    this.queue.end(waiting, placement.chargedMs, usedMs);
    this.freeSlot(placement);
    if (outcome === 'succeeded') this.estimator.learn(waiting, heldMs);
    if (NO_TRIAL.has(outcome)) this.health.abandonTrial(targetId, nowMs);
    if (NO_START.has(outcome)) this.resting.rest(targetId, nowMs);
    if (!wasPreempted) this.judge(waiting, targetId, outcome, nowMs);
  }

  /** The platform did not take the wish to checkpoint this run. */
  keepRunning(placement: Placement): void {
    this.preemption.keep(placement);
  }

  /** Charges a team for slot time that other pools gave it. */
  chargeElsewhere(teamId: TeamId, slotMs: number): void {
    this.queue.chargeElsewhere(teamId, slotMs);
  }

  /** A run whose outcome is unknown counts for the health now, and frees its slot when it lapses. */
  suspect(placement: Placement): void {
    const { waiting, targetId } = placement;
    this.judge(waiting, targetId, 'unknown', this.clock.monotonicMs());
  }

  /** Looks again at targets that rest or are due for a trial, and at teams left out. Call a few times a second. */
  tick(): void {
    const nowMs = this.clock.monotonicMs();
    this.resting.wake(nowMs);
    this.health.dueForTrial(nowMs).forEach((targetId) => {
      if (!this.targets.allowTrial(targetId)) this.health.abandonTrial(targetId, nowMs);
    });
    this.resumeDeferred();
    [...this.limited].forEach((teamId) => this.resumeTeam(teamId));
  }

  /** Background runs to checkpoint, so that urgent work that waits may start in time. */
  runsToPreempt(): Placement[] {
    const oldest = this.queue.oldestUrgent();
    if (!oldest || this.targets.freeSlots > 0) return [];
    const sinceMs = this.clock.unixMs() - oldest.acceptedAtMs;
    if (sinceMs < this.policy.preemptAfterMs) return [];
    return this.preemption.choose(this.queue.urgentSize);
  }

  /** Whether the ticket may still start in time, by the fluid prediction of its wait. */
  private admissionOf(
    item: WaitingTicket,
    service: ServiceConfig,
    teamLimit: number,
  ): AdmissionDecision {
    const { urgency, teamId, acceptedAtMs, ticket } = item;
    const nowMs = this.clock.unixMs();
    const isFresh = ticket.attempt === 1 && nowMs - acceptedAtMs < RESENT_AGE_MS;
    const arrival = {
      urgency,
      nowMs,
      deadlineAtMs: ticket.deadlineAtMs,
      estimateMs: Math.min(this.estimateOf(item), service.taskLeaseMs),
      startByMs: isFresh ? acceptedAtMs + this.policy.urgentStartMs : Number.POSITIVE_INFINITY,
    };
    const backlog = this.queue.backlog(teamId, urgency);
    const capacity = this.capacityFor(urgency, teamLimit);
    const highest = admit(arrival, highestWaitMs(backlog, capacity));
    if (highest.kind === 'admitted') return highest;
    const horizonMs = Math.max(0, Math.min(ARRIVALS_HORIZON_MS, mayWaitMsOf(arrival)));
    const competingMs = (leadMs: number, turnMs: number): number =>
      this.queue.competingMs(teamId, { leadMs, turnMs, horizonMs }, nowMs);
    return admit(arrival, predictedWaitMs(urgency, backlog, capacity, competingMs));
  }

  private expire(waiting: WaitingTicket): void {
    this.cancel(waiting.ticketId);
    this.expired.push(waiting);
  }

  private capacityFor(urgency: Urgency, teamLimit: number): Capacity {
    const isUrgent = urgency === 'urgent';
    return {
      slots: this.slotsFor(urgency),
      freeSlots: isUrgent ? this.targets.freeSlots : this.freeForBackground(),
      teamLimit,
      heldSlots: isUrgent ? this.preemption.heldSlots : 0,
    };
  }

  private place(
    waiting: WaitingTicket,
    targetId: TargetId,
    creditUse: Placement['creditUse'],
  ): Placement {
    const chargedMs = this.queue.start(waiting);
    this.deadlines.remove(waiting.ticketId, waiting.ticket.deadlineAtMs);
    this.counts.add(waiting, -1);
    this.targets.take(targetId);
    const startedAtMs = this.clock.monotonicMs();
    const placement = { waiting, targetId, creditUse, chargedMs, startedAtMs };
    const isLong = chargedMs > this.policy.urgentStartMs;
    this.preemption.add(placement, isLong);
    return placement;
  }

  private freeSlot(placement: Placement): void {
    this.preemption.remove(placement);
    this.targets.release(placement.targetId);
    this.resumeDeferred();
  }

  private judge(waiting: WaitingTicket, targetId: TargetId, outcome: RunEnd, nowMs: number): void {
    const succeeded = outcome === 'succeeded';
    if (!succeeded && !FAILURES.has(outcome)) return;
    const failedBefore = waiting.ticket.avoidTargetIds;
    const change = this.health.record({ targetId, succeeded, failedBefore }, nowMs);
    if (!change) return;
    this.targets.setEjected(targetId, change === 'ejected');
    this.configureQueue();
  }

  private pickTarget({ ticket, serviceId }: WaitingTicket): TargetId | undefined {
    return this.targets.pick({
      accelerators: this.view.services.get(serviceId)?.accelerators ?? 0,
      avoidTargetIds: new Set(ticket.avoidTargetIds),
      avoidRackIds: new Set(ticket.avoidRackIds),
      mayTry: ticket.idempotent && ticket.attempt === 1,
    });
  }

  private defer(teamId: TeamId): void {
    this.queue.park(teamId);
    this.deferred.add(teamId);
  }

  private resumeDeferred(): void {
    if (this.deferred.size === 0) return;
    const teamIds = [...this.deferred];
    this.deferred.clear();
    teamIds.forEach((teamId) => {
      if (!this.limited.has(teamId)) this.queue.unpark(teamId);
    });
  }

  private slotsFor(urgency: Urgency): number {
    const { slots } = this.targets;
    return urgency === 'urgent'
      ? slots
      : Math.max(1, Math.ceil(slots * (1 - this.policy.headroomRatio)));
  }

  private freeForBackground(): number {
    const spare = this.slotsFor('background') - this.preemption.backgroundRuns;
    return Math.max(0, Math.min(this.targets.freeSlots, spare));
  }

  private backgroundMayStart(): boolean {
    return this.preemption.backgroundRuns < this.slotsFor('background');
  }

  private isKnown(serviceId: ServiceId, teamId: TeamId | undefined): boolean {
    if (!this.view.services.has(serviceId)) return false;
    return teamId === undefined || this.view.teams.has(teamId);
  }

  private configureQueue(): void {
    this.queue.configure({
      shares: new Map([...this.view.teams].map(([teamId, { share }]) => [teamId, share])),
      slots: this.targets.slots,
      urgentLeadMs: this.policy.urgentLeadMs,
      ageingMs: this.policy.ageingMs,
    });
  }
}
