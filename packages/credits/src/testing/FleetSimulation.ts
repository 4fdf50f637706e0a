/**
 * A fleet of entries in virtual time under a fault plan: the real decisions on a simulated
 * network, log and list. Deterministic: one seed, one course of events.
 */
import { Random, type TeamId } from '@acaciadock/core';
import { type PeerMessage } from '@acaciadock/peers';
import { type LimitsInForce } from '../LedgerRecords.js';
import { EventQueue } from './EventQueue.js';
import { type Fault, type FaultPlan } from './FaultPlan.js';
import { type FleetTiming, PRODUCT_TIMING, SHORT_TIMING } from './FleetTiming.js';
import { type NodeNetwork, SimulatedNode } from './SimulatedNode.js';
import { SimulatedPlatform } from './SimulatedPlatform.js';
import { SimulatedWork, type Violation } from './SimulatedWork.js';

const CALM_DELAY_MS = 3;
const CHECK_MS = 250;

/** Keeps the run's chances apart from those that drew its plan. */
const SEED_OFFSET = 7_919;

/** After this the run gives up waiting for all credits to be usable again. */
const MOST_HEALING_MS = 120_000;

export interface FleetOutcome {
  readonly violations: readonly Violation[];
  readonly starts: number;
  /** From the end of the faults until all credits were usable again; undefined if never. */
  readonly usableAfterMs: number | undefined;
  /** Most of the roster was lost at once, which no votes can settle. */
  readonly massLoss: boolean;
  /** Largest part of a limit that closed members held at any check. */
  readonly mostStrandedRatio: number;
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

  private generation = 0;

  private nextEntry = 0;

  private faulty = false;

  private readonly islands = new Map<string, { readonly id: number; readonly log: boolean }>();

  private nextIsland = 1;

  private mostStrandedRatio = 0;

  constructor(private readonly plan: FaultPlan) {
    this.timing = plan.shortTiming ? SHORT_TIMING : PRODUCT_TIMING;
    this.random = new Random(plan.seed + SEED_OFFSET);
    this.platform = new SimulatedPlatform(this.queue, this.random);
    this.teamIds = plan.limits.map((_, index) => `team${index}`);
    this.limits = new Map(plan.limits.map((limit, index) => [`team${index}`, limit]));
    const { queue, platform, random, teamIds } = this;
    const { busyRatio } = plan;
    this.work = new SimulatedWork(queue, platform, random, teamIds, this.timing, busyRatio);
    for (let index = 0; index < plan.nodes; index += 1) this.addEntry();
  }

  /** Runs the whole plan and the healing after it. */
  run(): FleetOutcome {
    const { plan } = this;
    this.queue.after(plan.faultsBeginMs, () => this.setFaulty(true));
    plan.faults.forEach(({ atMs, fault }) => this.queue.after(atMs, () => this.apply(fault)));
    this.queue.runUntil(plan.faultsEndMs);
    this.setFaulty(false);
    this.endFaults();
    const usableAfterMs = this.heal();
    return {
      violations: this.work.violations,
      starts: this.work.starts,
      usableAfterMs,
      massLoss: this.sawMassLoss(),
      mostStrandedRatio: this.mostStrandedRatio,
    };
  }

  send(fromEntryId: string, toEntryId: string, message: PeerMessage): void {
    const { plan, random } = this;
    if (this.islandOf(fromEntryId) !== this.islandOf(toEntryId)) return;
    if (!this.faulty) {
      this.deliver(fromEntryId, toEntryId, message, CALM_DELAY_MS * random.next());
      return;
    }
    if (random.chance(plan.lossRatio)) return;
    this.deliver(fromEntryId, toEntryId, message, plan.mostDelayMs * random.next());
    if (!random.chance(plan.doubleRatio)) return;
    this.deliver(fromEntryId, toEntryId, message, plan.mostDelayMs * random.next() * 2);
  }

  reachesLog(entryId: string): boolean {
    return !this.platform.logDown && (this.islands.get(entryId)?.log ?? true);
  }

  /** Whether nothing is stranded, in debt or in flight: live entries hold each limit in full. */
  isWhole(): boolean {
    const { truth } = this.platform;
    if (truth.closingMembers().length > 0) return false;
    const serving = this.nodes.filter((node) => !node.crashed && !node.stopping);
    if (serving.some((node) => node.isFenced)) return false;
    return this.teamIds.every((teamId) => {
      const wanted = this.limits.get(teamId) ?? 0;
      const book = truth.team(teamId);
      if ((book?.limit ?? 0) !== wanted || (book?.debt ?? 0) > 0) return false;
      const held = serving.reduce((sum, node) => sum + node.ledger.holding(teamId), 0);
      return held === wanted;
    });
  }

  setLimit(teamId: TeamId, limit: number): void {
    this.limits.set(teamId, limit);
    this.configVersion += 1;
    const inForce = this.limitsInForce();
    this.nodes.forEach((node) => {
      this.queue.after(this.random.next() * 200, () => node.setLimits(inForce));
    });
  }

  addEntry(entryId = this.newEntryId()): SimulatedNode {
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

  private newEntryId(): string {
    this.nextEntry += 1;
    return `e${this.nextEntry - 1}`;
  }

  private limitsInForce(): LimitsInForce {
    const { configVersion } = this;
    return { configVersion, limits: new Map(this.limits), longestLeaseMs: this.timing.leaseMs };
  }

  private deliver(from: string, to: string, message: PeerMessage, delayMs: number): void {
    this.queue.after(delayMs, () => this.alive(to)?.receive(from, message));
  }

  private alive(entryId: string): SimulatedNode | undefined {
    return this.nodes.findLast((node) => node.entryId === entryId && !node.crashed);
  }

  private islandOf(entryId: string): number {
    return this.islands.get(entryId)?.id ?? 0;
  }

  private setFaulty(faulty: boolean): void {
    this.faulty = faulty;
    this.platform.appendFaults.lossRatio = faulty ? this.plan.appendLossRatio : 0;
    this.platform.appendFaults.mostDelayMs = faulty ? this.plan.mostAppendDelayMs : 10;
  }

  private apply(fault: Fault): void {
    if (fault.kind === 'crash') this.crash(fault.node, fault.restartAfterMs);
    else if (fault.kind === 'pause') this.nodes[fault.node]?.pause(fault.forMs);
    else if (fault.kind === 'join') this.addEntry();
    else if (fault.kind === 'stop') this.nodes[fault.node]?.stop();
    else if (fault.kind === 'limit') this.setLimit(`team${fault.team}`, fault.limit);
    else if (fault.kind === 'partition') this.cutOff(fault.nodes, fault.logReachable, fault.forMs);
    else if (fault.kind === 'out-of-sight') this.hide(fault.nodes, fault.forMs);
    else if (fault.kind === 'paused-out-of-sight') {
      this.nodes[fault.node]?.pause(fault.forMs);
      this.shortenList([fault.node], fault.forMs);
    } else if (fault.kind === 'short-list') this.shortenList(fault.nodes, fault.forMs);
    else this.takeLogDown(fault.forMs);
  }

  private crash(index: number, restartAfterMs: number | undefined): void {
    const node = this.nodes[index];
    if (!node || node.crashed) return;
    node.crash();
    const { entryId } = node;
    if (restartAfterMs === undefined) this.platform.removeFromList(entryId);
    else this.queue.after(restartAfterMs, () => this.addEntry(entryId));
  }

  private hide(nodes: readonly number[], forMs: number): void {
    this.cutOff(nodes, false, forMs);
    this.shortenList(nodes, forMs);
  }

  private cutOff(nodes: readonly number[], logReachable: boolean, forMs: number): void {
    const island = { id: this.nextIsland, log: logReachable };
    this.nextIsland += 1;
    const entryIds = nodes.flatMap((index) => this.nodes[index]?.entryId ?? []);
    entryIds.forEach((entryId) => this.islands.set(entryId, island));
    this.queue.after(forMs, () => {
      entryIds
        .filter((entryId) => this.islands.get(entryId) === island)
        .forEach((entryId) => this.islands.delete(entryId));
    });
  }

  private shortenList(nodes: readonly number[], forMs: number): void {
    const entryIds = nodes.flatMap((index) => this.nodes[index]?.entryId ?? []);
    entryIds.forEach((entryId) => this.platform.omitted.add(entryId));
    this.queue.after(forMs, () => this.platform.omitted.clear());
  }

  private takeLogDown(forMs: number): void {
    this.platform.logDown = true;
    this.queue.after(forMs, () => {
      this.platform.logDown = false;
    });
  }

  private endFaults(): void {
    this.islands.clear();
    this.platform.omitted.clear();
    this.platform.logDown = false;
    this.nodes.forEach((node) => node.resume());
    this.nodes
      .filter((node) => node.crashed && !this.alive(node.entryId))
      .forEach(({ entryId }) => this.platform.removeFromList(entryId));
    if (!this.nodes.some((node) => !node.crashed && !node.stopping)) this.addEntry();
  }

  private heal(): number | undefined {
    const { faultsEndMs } = this.plan;
    while (this.queue.nowMs < faultsEndMs + MOST_HEALING_MS) {
      this.noteStranded();
      if (this.isWhole()) return this.queue.nowMs - faultsEndMs;
      this.queue.runUntil(this.queue.nowMs + CHECK_MS);
    }
    return undefined;
  }

  private noteStranded(): void {
    this.teamIds.forEach((teamId) => {
      const limit = this.platform.truth.team(teamId)?.limit ?? 0;
      if (limit === 0) return;
      const ratio = this.platform.truth.stranded(teamId) / limit;
      this.mostStrandedRatio = Math.max(this.mostStrandedRatio, ratio);
    });
  }

  private sawMassLoss(): boolean {
    return this.platform.records.some(({ payload }) => {
      const record = payload as { kind?: string; massLoss?: boolean };
      return record.kind === 'evict' && record.massLoss === true;
    });
  }
}
