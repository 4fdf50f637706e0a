/**
 * Simulates a fleet of entries in virtual time under a fault plan: production logic on a simulated
 * network, log and instance list. A run is deterministic for a given seed.
 */
import { Random, type TeamId } from '@acaciadock/core';
import { type PeerMessage } from '@acaciadock/peers';
import { type LimitsInForce } from '../LedgerOutbox.js';
import { EventQueue } from './EventQueue.js';
import { type Fault, type FaultPlan } from './FaultPlanner.js';
import { type FleetTiming, PRODUCTION_TIMING, SHORT_TIMING } from './FleetTiming.js';
import { type NodeNetwork, SimulatedNode } from './SimulatedNode.js';
import { SimulatedPlatform } from './SimulatedPlatform.js';
import { SimulatedWork, type Violation } from './SimulatedWork.js';

const FAULT_FREE_DELAY_MS = 3;
const CHECK_PERIOD_MS = 250;

/** Makes the random numbers of a run independent of those that generated its plan. */
const SEED_OFFSET = 7_919;

/** How long a run waits after the faults for all credits to become usable again. */
const MAX_RECOVERY_MS = 120_000;

export interface FleetOutcome {
  readonly violations: readonly Violation[];
  readonly starts: number;
  /** Time from the end of the faults until all credits were usable again; undefined if never. */
  readonly usableAfterMs: number | undefined;
  /**
   * Whether members were evicted without a majority, because most of the roster was lost at once.
   * Recovery then takes longer.
   */
  readonly massLoss: boolean;
  /** Largest fraction of a limit held by closed members at any check after the faults. */
  readonly maxStrandedRatio: number;
}

export class FleetSimulation implements NodeNetwork {
  readonly queue = new EventQueue();

  readonly platform: SimulatedPlatform;

  readonly work: SimulatedWork;

  readonly nodes: SimulatedNode[] = [];

  readonly teamIds: readonly TeamId[];

  private readonly random: Random;

  private readonly limits: Map<TeamId, number>;

  private readonly timing: FleetTiming;

  private configVersion = 1;

  /** Number of processes started so far. */
  private generation = 0;

  private nextEntry = 0;

  private faulty = false;

  private readonly partitions = new Map<string, { readonly id: number; readonly log: boolean }>();

  private nextPartitionId = 1;

  private maxStrandedRatio = 0;

  constructor(private readonly plan: FaultPlan) {
    this.timing = plan.shortTiming ? SHORT_TIMING : PRODUCTION_TIMING;
    this.random = new Random(plan.seed + SEED_OFFSET);
    this.platform = new SimulatedPlatform(this.queue, this.random);
    this.teamIds = plan.limits.map((_, index) => `team${index}`);
    this.limits = new Map(plan.limits.map((limit, index) => [`team${index}`, limit]));
    const { queue, platform, random, teamIds } = this;
    const { busyRatio } = plan;
    this.work = new SimulatedWork(queue, platform, random, teamIds, this.timing, busyRatio);
    for (let index = 0; index < plan.nodes; index += 1) this.startNode();
  }

  /** Runs the whole plan, and then the recovery. */
  run(): FleetOutcome {
    const { plan } = this;
    this.queue.after(plan.faultsBeginMs, () => this.setFaulty(true));
    plan.faults.forEach(({ atMs, fault }) => this.queue.after(atMs, () => this.applyFault(fault)));
    this.queue.runUntil(plan.faultsEndMs);
    this.setFaulty(false);
    this.endFaults();
    const usableAfterMs = this.awaitRecovery();
    return {
      violations: this.work.violations,
      starts: this.work.starts,
      usableAfterMs,
      massLoss: this.hadMassLoss(),
      maxStrandedRatio: this.maxStrandedRatio,
    };
  }

  send(fromEntryId: string, toEntryId: string, message: PeerMessage): void {
    const { plan, random } = this;
    if (this.partitionOf(fromEntryId) !== this.partitionOf(toEntryId)) return;
    if (!this.faulty) {
      this.deliver(fromEntryId, toEntryId, message, FAULT_FREE_DELAY_MS * random.next());
      return;
    }
    if (random.chance(plan.lossRatio)) return;
    this.deliver(fromEntryId, toEntryId, message, plan.maxDelayMs * random.next());
    if (!random.chance(plan.duplicateRatio)) return;
    this.deliver(fromEntryId, toEntryId, message, plan.maxDelayMs * random.next() * 2);
  }

  reachesLog(entryId: string): boolean {
    return !this.platform.logDown && (this.partitions.get(entryId)?.log ?? true);
  }

  /** Whether live entries hold every limit in full: none is stranded, in debt or in flight. */
  isRecovered(): boolean {
    const { referenceBook } = this.platform;
    if (referenceBook.closingMembers().length > 0) return false;
    const serving = this.nodes.filter((node) => !node.crashed && !node.stopping);
    if (serving.some((node) => node.isFenced)) return false;
    return this.teamIds.every((teamId) => {
      const wanted = this.limits.get(teamId) ?? 0;
      const book = referenceBook.team(teamId);
      if ((book?.limit ?? 0) !== wanted || (book?.debt ?? 0) > 0) return false;
      const held = serving.reduce((sum, node) => sum + node.ledger.holding(teamId), 0);
      return held === wanted;
    });
  }

  setLimit(teamId: TeamId, limit: number): void {
    this.limits.set(teamId, limit);
    this.configVersion += 1;
    const limitsInForce = this.limitsInForce();
    this.nodes.forEach((node) => {
      this.queue.after(this.random.next() * 200, () => node.setLimits(limitsInForce));
    });
  }

  /** Starts a process of a new entry, or restarts the given one. */
  startNode(entryId = this.createEntryId()): SimulatedNode {
    this.generation += 1;
    this.platform.addToList(entryId);
    const node = new SimulatedNode(
      entryId,
      this.generation,
      this.queue,
      this.platform,
      this,
      this.work,
      this.timing,
      this.limitsInForce(),
      this.random,
    );
    this.nodes.push(node);
    this.work.attach(node);
    return node;
  }

  private createEntryId(): string {
    this.nextEntry += 1;
    return `e${this.nextEntry - 1}`;
  }

  private limitsInForce(): LimitsInForce {
    const { configVersion } = this;
    return { configVersion, limits: new Map(this.limits), longestLeaseMs: this.timing.leaseMs };
  }

  private deliver(from: string, to: string, message: PeerMessage, delayMs: number): void {
    this.queue.after(delayMs, () => this.runningNode(to)?.receive(from, message));
  }

  /** The running process of an entry. */
  private runningNode(entryId: string): SimulatedNode | undefined {
    return this.nodes.findLast((node) => node.entryId === entryId && !node.crashed);
  }

  private partitionOf(entryId: string): number {
    return this.partitions.get(entryId)?.id ?? 0;
  }

  private setFaulty(faulty: boolean): void {
    this.faulty = faulty;
    this.platform.appendFaults.lossRatio = faulty ? this.plan.appendLossRatio : 0;
    this.platform.appendFaults.maxDelayMs = faulty ? this.plan.maxAppendDelayMs : 10;
  }

  private applyFault(fault: Fault): void {
    if (fault.kind === 'crash') this.crash(fault.node, fault.restartAfterMs);
    else if (fault.kind === 'pause') this.nodes[fault.node]?.pause(fault.forMs);
    else if (fault.kind === 'join') this.startNode();
    else if (fault.kind === 'stop') this.nodes[fault.node]?.stop();
    else if (fault.kind === 'limit') this.setLimit(`team${fault.team}`, fault.limit);
    else if (fault.kind === 'partition')
      this.partitionNodes(fault.nodes, fault.logReachable, fault.forMs);
    else if (fault.kind === 'out-of-sight') this.isolateAndUnlist(fault.nodes, fault.forMs);
    else if (fault.kind === 'paused-out-of-sight') {
      this.nodes[fault.node]?.pause(fault.forMs);
      this.omitFromList([fault.node], fault.forMs);
    } else if (fault.kind === 'short-list') this.omitFromList(fault.nodes, fault.forMs);
    else this.startLogOutage(fault.forMs);
  }

  private crash(index: number, restartAfterMs: number | undefined): void {
    const node = this.nodes[index];
    if (!node || node.crashed) return;
    node.crash();
    const { entryId } = node;
    if (restartAfterMs === undefined) this.platform.removeFromList(entryId);
    else this.queue.after(restartAfterMs, () => this.startNode(entryId));
  }

  private isolateAndUnlist(nodes: readonly number[], forMs: number): void {
    this.partitionNodes(nodes, false, forMs);
    this.omitFromList(nodes, forMs);
  }

  private partitionNodes(nodes: readonly number[], logReachable: boolean, forMs: number): void {
    const partition = { id: this.nextPartitionId, log: logReachable };
    this.nextPartitionId += 1;
    const entryIds = nodes.flatMap((index) => this.nodes[index]?.entryId ?? []);
    entryIds.forEach((entryId) => this.partitions.set(entryId, partition));
    this.queue.after(forMs, () => {
      entryIds
        .filter((entryId) => this.partitions.get(entryId) === partition)
        .forEach((entryId) => this.partitions.delete(entryId));
    });
  }

  private omitFromList(nodes: readonly number[], forMs: number): void {
    const entryIds = nodes.flatMap((index) => this.nodes[index]?.entryId ?? []);
    entryIds.forEach((entryId) => this.platform.omitted.add(entryId));
    this.queue.after(forMs, () => this.platform.omitted.clear());
  }

  private startLogOutage(forMs: number): void {
    this.platform.logDown = true;
    this.queue.after(forMs, () => {
      this.platform.logDown = false;
    });
  }

  private endFaults(): void {
    this.partitions.clear();
    this.platform.omitted.clear();
    this.platform.logDown = false;
    this.nodes.forEach((node) => node.resume());
    this.nodes
      .filter((node) => node.crashed && !this.runningNode(node.entryId))
      .forEach(({ entryId }) => this.platform.removeFromList(entryId));
    if (!this.nodes.some((node) => !node.crashed && !node.stopping)) this.startNode();
  }

  private awaitRecovery(): number | undefined {
    const { faultsEndMs } = this.plan;
    while (this.queue.nowMs < faultsEndMs + MAX_RECOVERY_MS) {
      this.recordStranded();
      if (this.isRecovered()) return this.queue.nowMs - faultsEndMs;
      this.queue.runUntil(this.queue.nowMs + CHECK_PERIOD_MS);
    }
    return undefined;
  }

  private recordStranded(): void {
    this.teamIds.forEach((teamId) => {
      const limit = this.platform.referenceBook.team(teamId)?.limit ?? 0;
      if (limit === 0) return;
      const ratio = this.platform.referenceBook.stranded(teamId) / limit;
      this.maxStrandedRatio = Math.max(this.maxStrandedRatio, ratio);
    });
  }

  private hadMassLoss(): boolean {
    return this.platform.records.some(({ payload }) => {
      const record = payload as { kind?: string; massLoss?: boolean };
      return record.kind === 'evict' && record.massLoss === true;
    });
  }
}
