/**
 * Load generator: sends requests to every service with exponentially distributed gaps, each through
 * a randomly picked entry, and counts how they end.
 */
import { type Clock, Disposable, type Random, type ServiceId } from '@acaciadock/core';
import { Agent } from 'undici';
import { z } from 'zod';

const problemSchema = z.object({ type: z.string(), executed: z.string() });

/** A request whose response headers take longer than this counts as cut. */
const ANSWER_TIMEOUT_MS = 15_000;

export interface LoadOptions {
  readonly callerAddresses: readonly string[];
  readonly serviceIds: readonly ServiceId[];
  readonly teamKey: string;
  /** Mean time between two requests to the same service, in milliseconds. */
  readonly meanGapMs: number;
}

export class FleetLoad extends Disposable {
  sent = 0;

  answered = 0;

  /** Requests refused with the statement that the work did not run. */
  notRun = 0;

  /** Requests that lost their connection, or failed when the work may have run. */
  cut = 0;

  /** Number of failed requests by problem type. */
  readonly problems = new Map<string, number>();

  private readonly agent = new Agent({ connections: 64, headersTimeout: ANSWER_TIMEOUT_MS });

  private readonly open = new Set<Promise<void>>();

  constructor(
    private readonly options: LoadOptions,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
  }

  start(): void {
    this.options.serviceIds.forEach((serviceId) => this.schedule(serviceId));
  }

  /** Stops sending and waits until every open request has ended. */
  async stop(): Promise<void> {
    this.dispose();
    await Promise.all(this.open);
    await this.agent.close();
  }

  private schedule(serviceId: ServiceId): void {
    if (this.isDisposed) return;
    this.clock.after(this.random.exponential(this.options.meanGapMs), () => {
      if (this.isDisposed) return;
      const send = this.send(serviceId);
      this.open.add(send);
      void send.finally(() => this.open.delete(send));
      this.schedule(serviceId);
    });
  }

  private async send(serviceId: ServiceId): Promise<void> {
    const address = this.random.pick(this.options.callerAddresses) ?? '';
    this.sent += 1;
    try {
      const answer = await this.agent.request({
        origin: `http://${address}`,
        path: `/v1/services/${serviceId}/requests`,
        method: 'POST',
        headers: { authorization: `Bearer ${this.options.teamKey}` },
        body: JSON.stringify({ sent: this.sent }),
      });
      this.count(answer.statusCode, await answer.body.text());
    } catch {
      this.note('connection-cut');
      this.cut += 1;
    }
  }

  private count(statusCode: number, text: string): void {
    if (statusCode === 200) {
      this.answered += 1;
      return;
    }
    const problem = problemSchema.safeParse(JSON.parse(text));
    this.note(problem.success ? problem.data.type : 'malformed');
    if (problem.success && problem.data.executed === 'no') this.notRun += 1;
    else this.cut += 1;
  }

  /** Counts a failed request under its problem type. */
  private note(type: string): void {
    this.problems.set(type, (this.problems.get(type) ?? 0) + 1);
  }
}
