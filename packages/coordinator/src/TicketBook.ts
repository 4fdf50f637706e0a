/**
 * Tickets of the advice service: which targets may run a step, for how long. One request is under
 * way at a time, because the service answers the calls of one instance in turn.
 */
import { type Clock, Disposable, EventEmitter, type Logger } from '@acaciadock/core';
import { type AdviceService } from './contracts/index.js';
import { type FleetTarget } from './FleetTarget.js';

/** Each target named costs the service time; this many are enough to place a step. */
const TARGETS_PER_REQUEST = 8;

/** Tickets are not used in their last moments, in milliseconds: the order has to arrive. */
const SAFETY_MS = 300;

/** Between two tries after the service failed, in milliseconds. */
const RETRY_MS = 200;

interface Ticket {
  readonly ticket: string;
  readonly bornMs: number;
  readonly validUntilMs: number;
}

interface StepAdvice {
  readonly tickets: Map<string, Ticket>;
  /** Targets that the service has already judged. The judgement does not change. */
  readonly refused: Set<string>;
}

export class TicketBook extends Disposable {
  private readonly steps = new Map<string, StepAdvice>();

  private readonly wanted = new Map<string, readonly FleetTarget[]>();

  private asking = false;

  private readonly arrivedEmitter = this.register(new EventEmitter<string>());

  /** Fires with a step's id when tickets for it have arrived. */
  readonly onArrived = this.arrivedEmitter.event;

  constructor(
    private readonly service: AdviceService,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Those of `targets` for which a valid ticket is at hand. */
  allowed(stepId: string, targets: readonly FleetTarget[]): FleetTarget[] {
    return targets.filter((target) => this.ticketFor(stepId, target) !== '');
  }

  /** The ticket for the target's present lifetime, or an empty string. */
  ticketFor(stepId: string, target: FleetTarget): string {
    const ticket = this.steps.get(stepId)?.tickets.get(target.targetId);
    if (!ticket || ticket.bornMs !== target.bornMs) return '';
    return ticket.validUntilMs - SAFETY_MS > this.clock.monotonicMs() ? ticket.ticket : '';
  }

  /** Asks for advice on targets that have not been refused. */
  request(stepId: string, targets: readonly FleetTarget[]): void {
    const refused = this.steps.get(stepId)?.refused;
    const candidates = targets.filter((target) => !refused?.has(target.targetId));
    if (candidates.length === 0) return;
    this.wanted.set(stepId, candidates.slice(0, TARGETS_PER_REQUEST));
    if (!this.asking) void this.ask();
  }

  /** Forgets a step that needs no more starts. */
  forget(stepId: string): void {
    this.steps.delete(stepId);
    this.wanted.delete(stepId);
  }

  private async ask(): Promise<void> {
    this.asking = true;
    while (this.wanted.size > 0 && !this.isDisposed) {
      const [next] = this.wanted;
      if (!next) break;
      const [stepId, targets] = next;
      this.wanted.delete(stepId);
      await this.askFor(stepId, targets);
    }
    this.asking = false;
  }

  private async askFor(stepId: string, targets: readonly FleetTarget[]): Promise<void> {
    const askedMs = this.clock.monotonicMs();
    const answer = await this.service.advise(
      stepId,
      targets.map((target) => target.targetId),
    );
    if (answer.isErr()) {
      this.logger.warn('advice-failed', { stepId, reason: answer.error.detail });
      await this.clock.sleep(RETRY_MS);
      return;
    }
    const advice = this.steps.get(stepId) ?? { tickets: new Map(), refused: new Set() };
    this.steps.set(stepId, advice);
    const validUntilMs = askedMs + answer.value.validityMs;
    const good = new Map(answer.value.tickets.map(({ targetId, ticket }) => [targetId, ticket]));
    targets.forEach((target) => {
      const ticket = good.get(target.targetId);
      if (ticket === undefined) advice.refused.add(target.targetId);
      else advice.tickets.set(target.targetId, { ticket, bornMs: target.bornMs, validUntilMs });
    });
    this.logger.info('advice', { stepId, asked: targets.length, good: good.size });
    this.arrivedEmitter.fire(stepId);
  }
}
