/** Stand-in for the platform's instance list, which lags behind what is true. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock, type InstanceId } from '@acaciadock/core';
import { type ListedInstance } from '@acaciadock/platform';
import { AnswerFaults } from './AnswerFaults.js';
import { HttpStandIn } from './HttpStandIn.js';

interface Change {
  readonly atMs: number;
  readonly instanceId: InstanceId;
  readonly listed: ListedInstance | undefined;
}

export class DirectoryStandIn extends HttpStandIn {
  down = false;

  readonly answers: AnswerFaults;

  private changes: Change[] = [];

  /** Changes with what the list shows; the list's tag. */
  private generation = 0;

  private readonly shown = new Map<InstanceId, ListedInstance>();

  constructor(
    private readonly clock: Clock,
    /** How long a change takes to show in the list, in milliseconds. */
    public lagMs = 0,
  ) {
    super();
    this.answers = new AnswerFaults(clock);
  }

  /** Sets what is true of an instance; the list shows it after the lag. */
  set(listed: ListedInstance): void {
    this.changes.push({ atMs: this.clock.monotonicMs(), instanceId: listed.instanceId, listed });
  }

  /** Takes an instance off the list, after the lag. */
  remove(instanceId: InstanceId): void {
    this.changes.push({ atMs: this.clock.monotonicMs(), instanceId, listed: undefined });
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.down) {
      response.destroy();
      return;
    }
    this.showUntil(this.clock.monotonicMs() - this.lagMs);
    const observedAtMs = this.clock.unixMs() - this.lagMs;
    response.setHeader('x-observed-at-ms', observedAtMs);
    response.setHeader('etag', `"${this.generation}"`);
    if (request.headers['if-none-match'] === `"${this.generation}"`) {
      response.writeHead(304).end();
      return;
    }
    await this.answers.send(response, 200, { observedAtMs, instances: [...this.shown.values()] });
  }

  private showUntil(untilMs: number): void {
    this.changes
      .filter((change) => change.atMs <= untilMs)
      .forEach((change) => {
        this.generation += 1;
        if (change.listed) this.shown.set(change.instanceId, change.listed);
        else this.shown.delete(change.instanceId);
      });
    this.changes = this.changes.filter((change) => change.atMs > untilMs);
  }
}
