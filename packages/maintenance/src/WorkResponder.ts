/** Runs at every entry and replies to the controller's work queries. */
import { Disposable, type InstanceId } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type PeerNetwork, type ReceivedMessage, type WorkReply } from '@acaciadock/peers';
import { type RunCounter } from './RunCounter.js';

export class WorkResponder extends Disposable {
  constructor(
    private readonly config: ConfigView,
    private readonly runs: RunCounter,
    private readonly network: PeerNetwork,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind !== 'work-query') return;
    const reply: WorkReply = {
      kind: 'work-reply',
      queryId: message.queryId,
      configVersion: this.config.state().version,
      openRuns: this.openRuns(message.instanceIds),
      runningByService: [...this.runs.runningByService()]
        .filter(([, count]) => count > 0)
        .map(([serviceId, count]) => ({ serviceId, count })),
    };
    this.network.send(fromEntryId, reply);
  }

  private openRuns(instanceIds: readonly InstanceId[]): WorkReply['openRuns'] {
    return instanceIds
      .map((instanceId) => ({ instanceId, count: this.runs.openRuns(instanceId) }))
      .filter(({ count }) => count > 0);
  }
}
