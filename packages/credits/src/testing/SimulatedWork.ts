/**
 * Simulated workload: queues at the nodes, grants of runs that reach their target after a delay,
 * leases that the target ends by its own clock, and completions that may not be reported to the
 * holder of the credit. It counts the requests that are actually running.
 */
import { type Random, type TeamId } from '@acaciadock/core';
import { type EventQueue } from './EventQueue.js';
import { type FleetTiming } from './FleetTiming.js';
import { type NodeWorkload, type SimulatedNode } from './SimulatedNode.js';
import { type SimulatedPlatform } from './SimulatedPlatform.js';

const MAX_QUEUED_PER_NODE = 40;
const MAX_QUEUE_CHANGE_MS = 2_500;
const MIN_RUN_RATIO = 0.1;
const RUN_RATIO_RANGE = 1.3;
const MAX_SKEW_MS = 240;
const LATE_GRANT_RATIO = 0.02;
const LOST_END_RATIO = 0.02;
const MAX_GRANT_DELAY_MS = 5;

/** An instant at which more requests ran than the log allows. */
export interface Violation {
  readonly atMs: number;
  readonly teamId: TeamId;
  readonly running: number;
  readonly allowed: number;
  readonly startedBy: string;
}

export class SimulatedWork implements NodeWorkload {
  readonly violations: Violation[] = [];

  starts = 0;

  private readonly running = new Map<TeamId, number>();

  /** Queued requests by node and team. */
  private readonly queued = new Map<string, number>();

  constructor(
    private readonly queue: EventQueue,
    private readonly platform: SimulatedPlatform,
    private readonly random: Random,
    private readonly teamIds: readonly TeamId[],
    private readonly timing: FleetTiming,
    private readonly busyRatio: number,
  ) {}

  /** Requests that are running, or whose grant may still be used. */
  runningOf(teamId: TeamId): number {
    return this.running.get(teamId) ?? 0;
  }

  /** Fills and empties the queues of a node at random until it crashes. */
  attach(node: SimulatedNode): void {
    if (this.busyRatio === 0) return;
    this.teamIds.forEach((teamId) => this.changeQueueAtRandom(node, teamId));
  }

  /** Sets the number of requests that a team has queued at a node. */
  setQueue(node: SimulatedNode, teamId: TeamId, requests: number): void {
    this.queued.set(`${node.entryId} ${teamId}`, requests);
    node.runInProcess(() => this.startQueued(node));
  }

  startQueued(node: SimulatedNode): void {
    this.teamIds.forEach((teamId) => this.serveTeam(node, teamId));
  }

  private changeQueueAtRandom(node: SimulatedNode, teamId: TeamId): void {
    if (node.crashed) return;
    const busy = this.random.chance(this.busyRatio);
    this.setQueue(node, teamId, busy ? this.random.integer(1, MAX_QUEUED_PER_NODE) : 0);
    this.queue.after(this.random.next() * MAX_QUEUE_CHANGE_MS, () =>
      this.changeQueueAtRandom(node, teamId),
    );
  }

  private serveTeam(node: SimulatedNode, teamId: TeamId): void {
    const key = `${node.entryId} ${teamId}`;
    let left = this.queued.get(key) ?? 0;
    while (left > 0) {
      const use = node.tryStart(teamId);
      if (!use) break;
      left -= 1;
      this.grant(node, teamId, use.useId, use.acquiredAtMs);
    }
    this.queued.set(key, left);
    if (left > 0) node.ledger.setDemand(teamId, left, node.monotonicMs());
  }

  /**
   * Simulates a grant on its way to a gateway, which sends the request only if the start-by time
   * has not passed by its own clock. The credit is released when the lease has expired.
   */
  private grant(node: SimulatedNode, teamId: TeamId, useId: string, acquiredAtMs: number): void {
    const { startWindowMs, clockSkewMs } = this.timing.credits;
    const startByMs = acquiredAtMs + startWindowMs;
    const leaseExpiresAtMs = startByMs + this.timing.leaseMs;
    const late = this.random.chance(LATE_GRANT_RATIO);
    const delayMs = this.random.next() * (late ? 2 * startWindowMs : MAX_GRANT_DELAY_MS);
    const gatewaySkewMs = this.skew();
    const expiryDelayMs = leaseExpiresAtMs + clockSkewMs - node.unixMs();
    this.queue.after(expiryDelayMs, () => node.release(useId));
    this.countOutstandingGrant(node, teamId);
    this.queue.after(delayMs, () => {
      if (this.platform.unixMs() + gatewaySkewMs >= startByMs) {
        this.end(teamId);
        return;
      }
      this.run(node, teamId, useId, leaseExpiresAtMs);
    });
  }

  private run(node: SimulatedNode, teamId: TeamId, useId: string, leaseExpiresAtMs: number): void {
    const targetNowMs = this.platform.unixMs() + this.skew();
    if (targetNowMs >= leaseExpiresAtMs) {
      this.end(teamId);
      return;
    }
    this.starts += 1;
    const runRatio = MIN_RUN_RATIO + this.random.next() * RUN_RATIO_RANGE;
    const runMs = Math.min(runRatio * this.timing.leaseMs, leaseExpiresAtMs - targetNowMs);
    this.queue.after(runMs, () => {
      this.end(teamId);
      if (this.random.chance(LOST_END_RATIO)) return;
      this.queue.after(2, () => node.release(useId));
    });
  }

  /** Counts an outstanding grant as running, since its work may start at any moment. */
  private countOutstandingGrant(node: SimulatedNode, teamId: TeamId): void {
    const running = this.runningOf(teamId) + 1;
    this.running.set(teamId, running);
    const book = this.platform.referenceBook.team(teamId);
    const allowed = (book?.limit ?? 0) + (book?.debt ?? 0);
    if (running <= allowed) return;
    const atMs = this.queue.nowMs;
    this.violations.push({ atMs, teamId, running, allowed, startedBy: node.memberId });
  }

  private end(teamId: TeamId): void {
    this.running.set(teamId, this.runningOf(teamId) - 1);
  }

  private skew(): number {
    return (this.random.next() * 2 - 1) * MAX_SKEW_MS;
  }
}
