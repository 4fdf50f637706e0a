/** Stand-in for the platform's instance list, which lags behind the actual state. */
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
  /** Connections are closed without an answer. */
  down = false;

  /** Faults in the answers that contain a list. */
  readonly answers: AnswerFaults;

  private changes: Change[] = [];

  /** Incremented with each change of the visible list; sent as its ETag. */
  private generation = 0;

  private readonly visibleInstances = new Map<InstanceId, ListedInstance>();

  constructor(
    private readonly clock: Clock,
    /** Delay until a change becomes visible in the list, in milliseconds. */
    public lagMs = 0,
  ) {
    super();
    this.answers = new AnswerFaults(clock);
  }

  /** Sets the state of an instance; the list shows it after the lag. */
  set(listed: ListedInstance): void {
    this.changes.push({ atMs: this.clock.monotonicMs(), instanceId: listed.instanceId, listed });
  }

  /** Removes an instance; it disappears from the list after the lag. */
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
    this.applyChangesUntil(this.clock.monotonicMs() - this.lagMs);
    const observedAtMs = this.clock.unixMs() - this.lagMs;
    response.setHeader('x-observed-at-ms', observedAtMs);
    response.setHeader('etag', `"${this.generation}"`);
    if (request.headers['if-none-match'] === `"${this.generation}"`) {
      response.writeHead(304).end();
      return;
    }
    await this.answers.send(response, 200, {
      observedAtMs,
      instances: [...this.visibleInstances.values()],
    });
  }

  /** Makes the changes up to this time visible in the list. */
  private applyChangesUntil(untilMs: number): void {
    this.changes
      .filter((change) => change.atMs <= untilMs)
      .forEach((change) => {
        this.generation += 1;
        if (change.listed) this.visibleInstances.set(change.instanceId, change.listed);
        else this.visibleInstances.delete(change.instanceId);
      });
    this.changes = this.changes.filter((change) => change.atMs > untilMs);
  }
}
