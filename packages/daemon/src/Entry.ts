/**
 * One entry instance: builds the tasks, hands each what it needs, and stops them in order. It
 * decides nothing itself.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, Disposable, Random, toDisposable } from '@acaciadock/core';
import { CreditLedgerTask } from '@acaciadock/credits';
import { CallerServer, RequestRunner, TargetClient, TicketDesk } from '@acaciadock/gateway';
import {
  ControlStreamReader,
  ControlStreamWriter,
  EntryFence,
  Membership,
} from '@acaciadock/membership';
import { PeerLinks } from '@acaciadock/peers';
import { HttpInstanceDirectory, HttpLogService, HttpPlatformClient } from '@acaciadock/platform';
import { ConfigFollower, PatchSubmitter } from '@acaciadock/replication';
import { Dispatcher } from '@acaciadock/scheduling';
import { LastOutcomes } from '@acaciadock/telemetry';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { OperatorServer } from './OperatorServer.js';
import { type Settings } from './Settings.js';

const HAND_OVER_PATIENCE_MS = 15_000;
const LEAVE_PATIENCE_MS = 2_000;
const LEAVE_POLL_MS = 20;

export interface EntryAddresses {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
}

export class Entry extends Disposable {
  readonly follower: ConfigFollower;

  readonly outcomes = new LastOutcomes();

  readonly membership: Membership;

  readonly credits: CreditLedgerTask;

  readonly fence: EntryFence;

  private readonly reader: ControlStreamReader;

  private readonly links: PeerLinks;

  private readonly callers: CallerServer;

  private readonly operators: OperatorServer;

  private readonly platformClient: HttpPlatformClient;

  private readonly directoryClient: HttpPlatformClient;

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    seed: number,
  ) {
    super();
    const random = new Random(seed);
    const incarnation = randomUUID();
    this.platformClient = new HttpPlatformClient(settings.platform.logUrl);
    this.directoryClient = new HttpPlatformClient(settings.platform.directoryUrl);
    this.register(
      toDisposable(() => {
        void this.platformClient.close();
        void this.directoryClient.close();
      }),
    );
    const log = new HttpLogService(this.platformClient);
    this.follower = this.register(new ConfigFollower(log, clock, random));
    this.links = this.register(
      new PeerLinks(
        {
          selfEntryId: settings.entryId,
          listenAddress: settings.peerAddress,
          serverCredentials: ServerCredentials.createInsecure(),
          channelCredentials: ChannelCredentials.createInsecure(),
        },
        clock,
        random,
      ),
    );
    const writer = this.register(new ControlStreamWriter(log, clock));
    this.reader = this.register(new ControlStreamReader(log, clock, random));
    this.membership = this.register(
      new Membership(
        { entryId: settings.entryId, zoneId: settings.zoneId },
        {
          network: this.links,
          reader: this.reader,
          writer,
          directory: new HttpInstanceDirectory(this.directoryClient),
          config: this.follower,
        },
        clock,
      ),
    );
    this.fence = this.register(
      new EntryFence((nowMs) => this.membership.fenceReason(nowMs), clock),
    );
    this.credits = this.register(
      new CreditLedgerTask(
        settings.entryId,
        {
          config: this.follower,
          network: this.links,
          reader: this.reader,
          writer,
          membership: this.membership,
          fence: this.fence,
        },
        clock,
      ),
    );
    const { fence, credits, membership: homes } = this;
    this.register(new Dispatcher(this.follower, credits, fence, this.links, clock, incarnation));
    const desk = this.register(new TicketDesk(homes, this.links, clock));
    const targets = this.register(new TargetClient(clock));
    const runner = new RequestRunner(this.follower, desk, targets, clock, random);
    this.callers = this.register(
      new CallerServer(this.follower, fence, runner, this.outcomes, clock),
    );
    const submitter = this.register(new PatchSubmitter(log, this.follower, clock));
    this.operators = this.register(new OperatorServer(this.follower, submitter));
  }

  /** Opens the ports and begins to follow the configuration. */
  async start(): Promise<EntryAddresses> {
    const listening = await this.links.listen();
    if (listening.isErr()) throw new Error(listening.error.kind, { cause: listening.error });
    void this.follower.run();
    void this.reader.run();
    this.membership.start(listening.value);
    return {
      peerAddress: listening.value,
      callerAddress: await this.callers.listen(this.settings.callerAddress),
      operatorAddress: await this.operators.listen(this.settings.operatorAddress),
    };
  }

  /**
   * Graceful stop: readiness falls and this entry is no home any more, requests in progress are
   * finished, credits go to the other entries, and the leave record frees what is left. An entry
   * whose work has not ended in time writes no such record; it is evicted later.
   */
  async stop(): Promise<void> {
    this.membership.beginStop();
    await this.callers.stop();
    const ended = await this.credits.handOver(HAND_OVER_PATIENCE_MS);
    if (ended) await this.leave();
    this.dispose();
  }

  private async leave(): Promise<void> {
    const untilMs = this.clock.monotonicMs() + LEAVE_PATIENCE_MS;
    this.membership.leave();
    while (this.membership.isActive && this.clock.monotonicMs() < untilMs) {
      await this.clock.sleep(LEAVE_POLL_MS);
    }
  }
}
