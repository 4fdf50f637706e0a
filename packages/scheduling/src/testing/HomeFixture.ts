/** A dispatcher with in-memory dependencies, driven in virtual time. */
import { type EntryId, ManualClock, Random } from '@acaciadock/core';
import {
  type Grant,
  type GrantOutcome,
  type PeerMessage,
  type Ticket,
  type TicketRefused,
} from '@acaciadock/peers';
import { exampleDocument } from '@acaciadock/testkit';
import { Dispatcher } from '../Dispatcher.js';
import { LeavingWatch } from '../LeavingWatch.js';
import { PoolHomes } from '../PoolHomes.js';
import { ChosenHomes } from './ChosenHomes.js';
import { CountedCredits } from './CountedCredits.js';
import { FixedConfig } from './FixedConfig.js';
import { ListedDirectory } from './ListedDirectory.js';
import { RecordingControl } from './RecordingControl.js';
import { RecordingNetwork } from './RecordingNetwork.js';
import { SwitchedFence } from './SwitchedFence.js';

const TEAM_LIMIT = 1_000;
const MICROTASK_TURNS = 40;

export class HomeFixture {
  readonly clock = new ManualClock();

  readonly config: FixedConfig;

  readonly credits = new CountedCredits(this.clock);

  readonly fence = new SwitchedFence();

  readonly homes = new ChosenHomes();

  readonly network = new RecordingNetwork();

  readonly directory = new ListedDirectory();

  readonly control = new RecordingControl();

  readonly leaving: LeavingWatch;

  readonly dispatcher: Dispatcher;

  private nextTicket = 0;

  constructor(targetCount = 2) {
    const targets = Array.from({ length: targetCount }, (_, index) => ({
      instanceId: `t${index}`,
      address: `127.0.0.1:${1_000 + index}`,
    }));
    const teams = {
      a: { share: 1, limit: TEAM_LIMIT },
      b: { share: 1, limit: TEAM_LIMIT },
      none: { share: 1, limit: 0 },
    };
    this.config = new FixedConfig(exampleDocument({ targets, teams }));
    this.leaving = new LeavingWatch(this.directory, this.clock);
    this.dispatcher = new Dispatcher({
      config: this.config,
      credits: this.credits,
      fence: this.fence,
      homes: new PoolHomes(this.homes, this.config),
      network: this.network,
      leaving: this.leaving,
      control: this.control,
      clock: this.clock,
      random: new Random(1),
      incarnation: 'i0',
    });
  }

  ticket(change: Partial<Ticket> = {}): Ticket {
    this.nextTicket += 1;
    return {
      kind: 'ticket',
      ticketId: `r${this.nextTicket}:1`,
      serviceId: 'advice',
      teamId: 'a',
      urgency: 'background',
      acceptedAtMs: this.clock.unixMs(),
      deadlineAtMs: this.clock.unixMs() + 60_000,
      idempotent: true,
      attempt: 1,
      avoidTargetIds: [],
      avoidRackIds: [],
      ...change,
    };
  }

  /** Delivers messages to the home and waits until it has handled them. */
  async deliver(fromEntryId: EntryId, ...messages: readonly PeerMessage[]): Promise<void> {
    messages.forEach((message) => this.network.deliver(fromEntryId, message));
    await HomeFixture.settle();
  }

  async advance(durationMs: number, stepMs = 250): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.clock.advance(Math.min(stepMs, durationMs - passedMs));
      await HomeFixture.settle();
    }
  }

  grants(): Grant[] {
    return this.network.of('grant');
  }

  refusals(): TicketRefused[] {
    return this.network.of('ticket-refused');
  }

  static ended(grant: Grant, outcome: GrantOutcome = 'succeeded'): PeerMessage {
    const { grantId, serviceId, teamId, targetId, creditUseId, creditHolderEntryId } = grant;
    return {
      kind: 'grant-ended',
      grantId,
      serviceId,
      teamId,
      targetId,
      creditUseId,
      creditHolderEntryId,
      outcome,
      runMs: 1,
    };
  }

  dispose(): void {
    this.dispatcher.dispose();
    this.leaving.dispose();
  }

  /** Waits until the queued microtasks and those that they queue have run. */
  static async settle(): Promise<void> {
    for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
