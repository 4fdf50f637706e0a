/** Link between two simulated entries. What arrives while an entry is paused waits until it resumes. */
import { type PausableClock } from '@acaciadock/coordinator/testing';
import { type ManualClock } from '@acaciadock/core';
import { type TargetPort } from '@acaciadock/execution';
import { RelayLink } from '../relay/RelayLink.js';
import { type CallBatch } from '../relay/RelayMessages.js';
import { RelaySession } from '../relay/RelaySession.js';

export interface SimulatedPeer {
  readonly clock: PausableClock;
  readonly port: TargetPort;
  readonly isIsolated: boolean;
}

export class SimulatedRelayLink extends RelayLink {
  private session: RelaySession | undefined;

  constructor(
    private readonly self: SimulatedPeer,
    private readonly peer: SimulatedPeer,
    private readonly base: ManualClock,
    private readonly latencyMs: number,
  ) {
    super(self.clock);
    this.deliver(peer, () => this.openSession());
    this.register({ dispose: () => this.session?.dispose() });
  }

  protected override transmit(batch: CallBatch): void {
    // Messages between entries are text.
    const text = JSON.stringify(batch);
    this.deliver(this.peer, () => this.session?.handle(JSON.parse(text) as CallBatch));
  }

  private openSession(): void {
    if (this.isDisposed) return;
    this.session = new RelaySession(this.peer.port, this.peer.clock, (batch) => {
      this.deliver(this.self, () => this.receive(batch));
    });
  }

  private deliver(receiver: SimulatedPeer, action: () => void): void {
    if (this.self.isIsolated || this.peer.isIsolated) return;
    this.base.after(this.latencyMs, () => receiver.clock.fire(action));
  }
}
