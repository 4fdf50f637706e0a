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

  protected override async answer(_: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.down) {
      response.destroy();
      return;
    }
    this.showUntil(this.clock.monotonicMs() - this.lagMs);
    await this.answers.send(response, 200, {
      observedAtMs: this.clock.unixMs() - this.lagMs,
      instances: [...this.shown.values()],
    });
  }

  private showUntil(untilMs: number): void {
    this.changes
      .filter((change) => change.atMs <= untilMs)
      .forEach((change) => {
        if (change.listed) this.shown.set(change.instanceId, change.listed);
        else this.shown.delete(change.instanceId);
      });
    this.changes = this.changes.filter((change) => change.atMs > untilMs);
  }
}
