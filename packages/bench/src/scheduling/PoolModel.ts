/**
 * Models one pool under load in virtual time. The scheduler is real; the gateways, which retry
 * failed requests, and the targets, which run or fail them, are part of the model.
 */
import { Random, type TargetId, type TeamId, type Urgency } from '@acaciadock/core';
import { type ConfigDocumentInput, configDocumentSchema } from '@acaciadock/config';
import { type GrantOutcome, type Ticket } from '@acaciadock/peers';
import {
  FairQueue,
  type HealthPolicy,
  OutlierEjection,
  type Placement,
  PoolScheduler,
  type PoolSchedulerParts,
  poolViewsOf,
  type Refusal,
  RunTimeEstimator,
} from '@acaciadock/scheduling';
import { UnlimitedCredits } from './UnlimitedCredits.js';
import { type VirtualClock } from './VirtualClock.js';

const TICK_MS = 250;
const HOP_MS = 1;
const MAX_ATTEMPTS = 3;
const TARGETS_PER_RACK = 4;
const SERVICE_ID = 'advice';
const POOL_ID = 'main';

export interface ModelRequest {
  readonly teamId: TeamId;
  readonly urgency: Urgency;
  readonly runMs: number;
  readonly deadlineMs: number;
}

/** How a request ended. */
export interface ModelEnd {
  readonly request: ModelRequest;
  readonly arrivedAtMs: number;
  /** When the last attempt started; undefined if that one was refused or expired. */
  readonly startedAtMs: number | undefined;
  readonly endedAtMs: number;
  readonly refusal: Refusal | undefined;
  readonly succeeded: boolean;
  /** Whether it is a refused request that was queued anyway, to see when it would have started. */
  readonly probe: boolean;
}

export interface ModelOptions {
  /** One of this many requests refused for their deadline is queued anyway; none if omitted. */
  readonly probeEvery?: number;
  /** Whether to record how each request ended; true if omitted. */
  readonly keepEnds?: boolean;
  readonly targets: number;
  readonly slotsPerTarget: number;
  readonly shares: Readonly<Record<TeamId, number>>;
  readonly declaredRunMs: number;
  readonly maxQueuedPerTeam?: number;
  readonly policy?: ConfigDocumentInput['policy'];
  readonly queueOf?: PoolSchedulerParts['queueOf'];
  readonly health?: HealthPolicy;
}

const DEFAULT_POLICY = { weights: { bufferCost: 1, rollOutTime: 2, moves: 1, shareError: 2 } };

function documentOf(options: ModelOptions): ReturnType<typeof configDocumentSchema.parse> {
  const { targets, slotsPerTarget, shares, declaredRunMs, maxQueuedPerTeam } = options;
  const instances = Array.from({ length: targets }, (_, index) => [
    `t${index}`,
    {
      poolId: POOL_ID,
      zoneId: 'z',
      rackId: `r${Math.floor(index / TARGETS_PER_RACK)}`,
      address: '127.0.0.1:1',
      cores: 16,
      memoryBytes: 1,
      slots: slotsPerTarget,
    },
  ]);
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'bench',
    regionId: 'region',
    zones: { z: {} },
    pools: { [POOL_ID]: { role: 'service' } },
    instances: Object.fromEntries(instances),
    services: {
      [SERVICE_ID]: {
        poolId: POOL_ID,
        idempotent: true,
        availabilityTarget: 0.999,
        latencyObjectiveMs: 2_000,
        defaultDeadlineMs: 10_000,
        maxDeadlineMs: 600_000,
        declaredRunMs,
        taskLeaseMs: 600_000,
        ...(maxQueuedPerTeam === undefined ? {} : { maxQueuedPerTeam }),
      },
    },
    teams: Object.fromEntries(
      Object.entries(shares).map(([teamId, share]) => [teamId, { share, limit: 1_000_000 }]),
    ),
    policy: options.policy ?? DEFAULT_POLICY,
  });
}

interface Attempt {
  readonly request: ModelRequest;
  readonly arrivedAtMs: number;
  readonly attempt: number;
  readonly avoidTargetIds: readonly TargetId[];
  readonly probe: boolean;
}

export class PoolModel {
  readonly scheduler: PoolScheduler;

  readonly ends: ModelEnd[] = [];

  /** Number of attempts sent to each target. */
  readonly sentTo = new Map<TargetId, number>();

  /** Slot time that each team has used. */
  readonly heldMs = new Map<TeamId, number>();

  /** Targets that fail every request, and how long a request takes to fail. */
  readonly failureMsByTarget = new Map<TargetId, number>();

  private readonly attempts = new Map<string, Attempt>();

  private readonly credits: UnlimitedCredits;

  private nextRequest = 0;

  /** Number of requests refused for their deadline, of which every `probeEvery`th is queued. */
  private deadlineRefusals = 0;

  /** Number of scheduler decisions: tickets offered, placed and ended. */
  decisions = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly options: ModelOptions,
    seed: number,
  ) {
    this.credits = new UnlimitedCredits(clock);
    const view = poolViewsOf(documentOf(options)).get(POOL_ID);
    if (!view) throw new RangeError('the document has no pool');
    this.scheduler = new PoolScheduler(
      view,
      {
        queueOf: options.queueOf ?? ((estimateOf) => new FairQueue(estimateOf)),
        health: options.health ?? new OutlierEjection(new Random(seed)),
        estimator: new RunTimeEstimator(),
      },
      clock,
    );
    clock.every(TICK_MS, () => this.tick());
  }

  /** Submits a request that arrives now. */
  arrive(request: ModelRequest): void {
    const arrivedAtMs = this.clock.monotonicMs();
    this.submit({ request, arrivedAtMs, attempt: 1, avoidTargetIds: [], probe: false });
  }

  private submit(attempt: Attempt): void {
    this.nextRequest += 1;
    const ticket = this.ticketOf(attempt, `x${this.nextRequest}:${attempt.attempt}`);
    this.decisions += 1;
    const refusal = this.scheduler.offer(ticket, 'g');
    if (refusal) {
      this.finish(attempt, undefined, false, refusal);
      if (refusal.reason === 'deadline-unreachable') this.probe(attempt, ticket);
      return;
    }
    this.attempts.set(ticket.ticketId, attempt);
    this.dispatch();
  }

  /**
   * Queues one of `probeEvery` refused requests without admission, to see when it would have
   * started.
   */
  private probe(attempt: Attempt, ticket: Ticket): void {
    this.deadlineRefusals += 1;
    if (
      this.options.probeEvery === undefined ||
      this.deadlineRefusals % this.options.probeEvery !== 0
    ) {
      return;
    }
    const { ticketId, serviceId, teamId, urgency, acceptedAtMs } = ticket;
    const item = { ticketId, serviceId, teamId, urgency, acceptedAtMs };
    this.attempts.set(ticketId, { ...attempt, probe: true });
    this.scheduler.requeue({ ...item, ticket, gatewayEntryId: 'g' });
  }

  private ticketOf(attempt: Attempt, ticketId: string): Ticket {
    const { request, arrivedAtMs, avoidTargetIds } = attempt;
    const acceptedAtMs = this.clock.unixMs() - (this.clock.monotonicMs() - arrivedAtMs);
    return {
      kind: 'ticket',
      ticketId,
      serviceId: SERVICE_ID,
      teamId: request.teamId,
      urgency: request.urgency,
      acceptedAtMs,
      deadlineAtMs: acceptedAtMs + request.deadlineMs,
      idempotent: true,
      attempt: attempt.attempt,
      avoidTargetIds: [...avoidTargetIds],
      avoidRackIds: [],
    };
  }

  private dispatch(): void {
    for (;;) {
      const placement = this.scheduler.next(this.credits);
      if (!placement) return;
      this.decisions += 1;
      this.run(placement);
    }
  }

  private run(placement: Placement): void {
    const { targetId, waiting } = placement;
    const attempt = this.attempts.get(waiting.ticketId) as Attempt;
    this.sentTo.set(targetId, (this.sentTo.get(targetId) ?? 0) + 1);
    const failMs = this.failureMsByTarget.get(targetId);
    const durationMs = 2 * HOP_MS + (failMs ?? attempt.request.runMs);
    const startedAtMs = this.clock.monotonicMs();
    this.clock.after(durationMs, () => {
      this.end(placement, attempt, startedAtMs, failMs === undefined ? 'succeeded' : 'failed');
    });
  }

  private end(
    placement: Placement,
    attempt: Attempt,
    startedAtMs: number,
    outcome: GrantOutcome,
  ): void {
    const { waiting, targetId } = placement;
    this.attempts.delete(waiting.ticketId);
    const heldMs = this.clock.monotonicMs() - startedAtMs;
    this.heldMs.set(waiting.teamId, (this.heldMs.get(waiting.teamId) ?? 0) + heldMs);
    this.decisions += 1;
    this.scheduler.end(placement, outcome);
    if (outcome === 'succeeded') this.finish(attempt, startedAtMs, true, undefined);
    else if (attempt.attempt === MAX_ATTEMPTS) this.finish(attempt, startedAtMs, false, undefined);
    else {
      const avoidTargetIds = [...attempt.avoidTargetIds, targetId];
      this.submit({ ...attempt, attempt: attempt.attempt + 1, avoidTargetIds });
    }
    this.dispatch();
  }

  private tick(): void {
    this.scheduler.takeExpired().forEach(({ ticketId }) => {
      const attempt = this.attempts.get(ticketId);
      this.attempts.delete(ticketId);
      const refusal: Refusal = { reason: 'deadline-unreachable', retryAfterMs: 0 };
      if (attempt) this.finish(attempt, undefined, false, refusal);
    });
    this.scheduler.tick();
    this.dispatch();
  }

  private finish(
    { request, arrivedAtMs, probe }: Attempt,
    startedAtMs: number | undefined,
    succeeded: boolean,
    refusal: Refusal | undefined,
  ): void {
    if (this.options.keepEnds === false) return;
    const endedAtMs = this.clock.monotonicMs();
    this.ends.push({ request, arrivedAtMs, startedAtMs, endedAtMs, refusal, succeeded, probe });
  }
}
