/**
 * Makes the scheduling decisions for one pool at its home, without I/O: which tickets are admitted,
 * in which order they run and on which target. The dispatcher passes events in and sends the
 * resulting messages.
 */
import {
  type AdmissionDecision,
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
  type Capacity,
  upperBoundWaitMs,
  waitBudgetMs,
  predictedWaitMs,
} from './Admission.js';
import { DeadlineIndex } from './DeadlineIndex.js';
import { type HealthPolicy } from './HealthPolicy.js';
import { PoolTargets } from './PoolTargets.js';
import { type PoolView } from './PoolView.js';
import { PreemptionSelector } from './PreemptionSelector.js';
import { type EstimateOf, type QueueDiscipline } from './QueueDiscipline.js';
import { QueuedCounts } from './QueuedCounts.js';
import { TargetCooldowns } from './TargetCooldowns.js';
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
/** A ticket older than this on arrival was already admitted by an earlier home. */
const RESENT_AGE_MS = 1_000;
/** How far into the future arrivals are expected to continue at the recent rate. */
const ARRIVALS_HORIZON_MS = 2_500;
type RunOutcome = GrantOutcome | 'lapsed';
const FAILURE_OUTCOMES: ReadonlySet<RunOutcome> = new Set(['failed', 'unreachable', 'unknown']);
const COOLDOWN_OUTCOMES: ReadonlySet<RunOutcome> = new Set(['target-refused', 'unreachable']);
/** Outcomes that do not show whether an ejected target works again. */
const INCONCLUSIVE_OUTCOMES: ReadonlySet<RunOutcome> = new Set([
  'not-started',
  'target-refused',
  'lapsed',
]);

export interface PoolSchedulerParts {
  readonly queueOf: (estimateOf: EstimateOf) => QueueDiscipline<WaitingTicket>;
  readonly health: HealthPolicy;
  readonly estimator: RunTimeEstimator;
}

export class PoolScheduler {
  readonly targets = new PoolTargets();

  private readonly queue: QueueDiscipline<WaitingTicket>;

  /** Expected run time of runs of this kind, in milliseconds. */
  private readonly estimateOf: EstimateOf = (kind) =>
    this.estimator.estimateMs(kind, this.view.services.get(kind.serviceId)?.declaredRunMs ?? 0);

  private readonly health: HealthPolicy;

  private readonly estimator: RunTimeEstimator;

  private readonly deadlines = new DeadlineIndex();

  private readonly queuedCounts = new QueuedCounts();

  private readonly cooldowns: TargetCooldowns;

  private readonly preemption = new PreemptionSelector();

  private readonly retryBudgets = new RetryBudgets();

  /** Teams parked until a slot that fits their next ticket may be free. */
  private readonly waitingForSlot = new Set<TeamId>();

  /** Teams parked until they may have credits again. */
  private readonly waitingForCredits = new Set<TeamId>();

  /** Tickets whose deadline passed in the queue and that `takeExpired` has not returned yet. */
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
    this.cooldowns = new TargetCooldowns(this.targets);
    this.policy = schedulingPolicyOf(view.policy);
    this.configure(view);
  }

  /** Number of waiting tickets. */
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
    this.estimator.retain((serviceId, teamId) => this.isConfigured(serviceId, teamId));
    this.retryBudgets.retain((serviceId) => view.services.has(serviceId));
    this.configureQueue();
    this.resumeWaitingForSlot();
  }

  /** Replaces the set of targets that are closed to new work outside the configuration. */
  setClosed(leaving: ReadonlySet<InstanceId>): void {
    this.targets.setClosed(leaving);
    this.configureQueue();
    this.resumeWaitingForSlot();
  }

  /** Admits and queues a ticket, or returns the refusal. Call once for each ticket. */
  offer(ticket: Ticket, gatewayEntryId: string): Refusal | undefined {
    const service = this.view.services.get(ticket.serviceId);
    if (!service || !this.targets.fits(service.accelerators)) {
      return { reason: 'no-target-fits', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const limit = this.view.teams.get(ticket.teamId)?.limit ?? 0;
    if (limit === 0) return { reason: 'team-limit-zero', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    const item = waitingTicketOf(ticket, gatewayEntryId);
    this.queue.recordArrival(item, this.clock.unixMs());
    if (this.queuedCounts.of(item) >= service.maxQueuedPerTeam) {
      return { reason: 'queue-full', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const admission = this.admissionOf(item, service, limit);
    if (admission.kind === 'late') {
      return { reason: 'deadline-unreachable', retryAfterMs: admission.retryAfterMs };
    }
    if (!this.retryBudgets.admit(ticket.serviceId, ticket.attempt, service.retryBudgetRatio)) {
      return { reason: 'retry-budget-spent', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    this.requeue(item);
    return undefined;
  }

  /** Undoes a placement whose grant was not sent; the team is not charged. */
  undo(placement: Placement): void {
    this.queue.end(placement.waiting, placement.chargedMs, 0);
    this.freeSlot(placement);
    this.health.abandonTrial(placement.targetId, this.clock.monotonicMs());
  }

  /** Queues a ticket without admission control, because it was admitted before. */
  requeue(waiting: WaitingTicket): void {
    this.queue.push(waiting);
    this.deadlines.add(waiting.ticketId, waiting.ticket.deadlineAtMs);
    this.queuedCounts.add(waiting, 1);
  }

  /** Removes a waiting ticket; undefined if it is not queued. */
  cancel(ticketId: string): WaitingTicket | undefined {
    const waiting = this.queue.remove(ticketId);
    if (!waiting) return undefined;
    this.deadlines.remove(ticketId, waiting.ticket.deadlineAtMs);
    this.queuedCounts.add(waiting, -1);
    return waiting;
  }

  /** Removes and returns the waiting tickets whose deadline has passed. */
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

  /** Places the next ticket on a target; undefined if order, credits or slots allow none now. */
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
      if (targetId === undefined) this.parkUntilSlotFree(waiting.teamId);
      else {
        const creditUse = credits.tryAcquire(waiting.teamId);
        if (creditUse) return this.place(waiting, targetId, creditUse);
        this.queue.park(waiting.teamId);
        this.waitingForCredits.add(waiting.teamId);
        credits.reportDemand(
          waiting.teamId,
          this.queue.backlog(waiting.teamId, 'background').tickets,
        );
      }
    }
    return undefined;
  }

  /** Makes a team eligible again after credits may have become available. */
  resumeTeam(teamId: TeamId): void {
    this.waitingForCredits.delete(teamId);
    if (!this.waitingForSlot.has(teamId)) this.queue.unpark(teamId);
  }

  /**
   * Frees the slot of a run that ended or whose lease expired, and updates estimates and health.
   */
  end(placement: Placement, outcome: RunOutcome): void {
    const { waiting, targetId } = placement;
    const nowMs = this.clock.monotonicMs();
    const heldMs = nowMs - placement.startedAtMs;
    const isPreemptionPending = this.preemption.isPreemptionPending(placement);
    // A slot held until lease expiry did not benefit the team, so the estimated charge is kept.
    const usedMs = outcome === 'lapsed' ? placement.chargedMs : heldMs;
    this.queue.end(waiting, placement.chargedMs, usedMs);
    this.freeSlot(placement);
    if (outcome === 'succeeded') this.estimator.learn(waiting, heldMs);
    if (INCONCLUSIVE_OUTCOMES.has(outcome)) this.health.abandonTrial(targetId, nowMs);
    if (COOLDOWN_OUTCOMES.has(outcome)) this.cooldowns.start(targetId, nowMs);
    if (!isPreemptionPending) this.recordHealth(waiting, targetId, outcome, nowMs);
  }

  /** Records that the platform did not accept the request to checkpoint this run. */
  abandonPreemption(placement: Placement): void {
    this.preemption.abandon(placement);
  }

  /** Charges a team for slot time that it received in other pools. */
  chargeElsewhere(teamId: TeamId, slotMs: number): void {
    this.queue.chargeElsewhere(teamId, slotMs);
  }

  /**
   * Records an unknown outcome for target health. The slot stays in use until the lease expires.
   */
  recordUnknownOutcome(placement: Placement): void {
    const { waiting, targetId } = placement;
    this.recordHealth(waiting, targetId, 'unknown', this.clock.monotonicMs());
  }

  /**
   * Ends cooldowns, starts due trials and makes parked teams eligible again. Call several times a
   * second.
   */
  tick(): void {
    const nowMs = this.clock.monotonicMs();
    this.cooldowns.endExpired(nowMs);
    this.health.dueForTrial(nowMs).forEach((targetId) => {
      if (!this.targets.allowTrial(targetId)) this.health.abandonTrial(targetId, nowMs);
    });
    this.resumeWaitingForSlot();
    [...this.waitingForCredits].forEach((teamId) => this.resumeTeam(teamId));
  }

  /** Background runs to checkpoint, so that waiting urgent work can start in time. */
  runsToPreempt(): Placement[] {
    const nextUrgent = this.queue.nextUrgent();
    if (!nextUrgent || this.targets.freeSlots > 0) return [];
    const sinceMs = this.clock.unixMs() - nextUrgent.acceptedAtMs;
    if (sinceMs < this.policy.preemptAfterMs) return [];
    return this.preemption.select(this.queue.urgentSize);
  }

  /** Decides by the predicted wait whether the ticket can still start in time. */
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
    const upperBoundDecision = admit(arrival, upperBoundWaitMs(backlog, capacity));
    if (upperBoundDecision.kind === 'admitted') return upperBoundDecision;
    const horizonMs = Math.max(0, Math.min(ARRIVALS_HORIZON_MS, waitBudgetMs(arrival)));
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
    this.queuedCounts.add(waiting, -1);
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
    this.resumeWaitingForSlot();
  }

  private recordHealth(
    waiting: WaitingTicket,
    targetId: TargetId,
    outcome: RunOutcome,
    nowMs: number,
  ): void {
    const succeeded = outcome === 'succeeded';
    if (!succeeded && !FAILURE_OUTCOMES.has(outcome)) return;
    const previousTargetIds = waiting.ticket.avoidTargetIds;
    const change = this.health.record({ targetId, succeeded, previousTargetIds }, nowMs);
    if (!change) return;
    this.targets.setEjected(targetId, change === 'ejected');
    this.configureQueue();
  }

  private pickTarget({ ticket, serviceId }: WaitingTicket): TargetId | undefined {
    return this.targets.pick({
      accelerators: this.view.services.get(serviceId)?.accelerators ?? 0,
      avoidTargetIds: new Set(ticket.avoidTargetIds),
      avoidRackIds: new Set(ticket.avoidRackIds),
      mayBeTrial: ticket.idempotent && ticket.attempt === 1,
    });
  }

  private parkUntilSlotFree(teamId: TeamId): void {
    this.queue.park(teamId);
    this.waitingForSlot.add(teamId);
  }

  private resumeWaitingForSlot(): void {
    if (this.waitingForSlot.size === 0) return;
    const teamIds = [...this.waitingForSlot];
    this.waitingForSlot.clear();
    teamIds.forEach((teamId) => {
      if (!this.waitingForCredits.has(teamId)) this.queue.unpark(teamId);
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

  private isConfigured(serviceId: ServiceId, teamId: TeamId | undefined): boolean {
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
