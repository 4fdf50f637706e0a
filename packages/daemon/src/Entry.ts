/**
 * Composition root of an entry: creates its components, passes each its dependencies, and starts
 * and stops them in order. It holds no logic of its own.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout } from 'node:timers/promises';
import { type SecureContextOptions } from 'node:tls';
import {
  type Clock,
  Disposable,
  type Logger,
  Random,
  SilentLogger,
  toDisposable,
  type WorkView,
} from '@acaciadock/core';
import { type CreditLedgerRunner } from '@acaciadock/credits';
import { claimHorizonOptionsFor, Gateway } from '@acaciadock/gateway';
import { type EntryFence, type Membership } from '@acaciadock/membership';
import { type EntryStatus, PeerLinks } from '@acaciadock/peers';
import {
  HttpInstanceControl,
  HttpInstanceDirectory,
  HttpLogService,
  HttpPlatformClient,
  SharedInstanceDirectory,
} from '@acaciadock/platform';
import {
  AlarmLog,
  ConfigFollower,
  PatchSubmitter,
  SnapshotPublisher,
  snapshotScheduleFor,
} from '@acaciadock/replication';
import {
  Dispatcher,
  FleetWork,
  LeavingWatch,
  PoolHomes,
  WorkReporter,
} from '@acaciadock/scheduling';
import { ConfigRoutes } from './ConfigRoutes.js';
import { EntryTls } from './EntryTls.js';
import { FleetMember } from './FleetMember.js';
import { FleetRoutes } from './FleetRoutes.js';
import { FleetStatus } from './FleetStatus.js';
import { HttpInstanceProbe } from './HttpInstanceProbe.js';
import { Maintenance } from './Maintenance.js';
import { MaintenanceRoutes } from './MaintenanceRoutes.js';
import { Observability } from './Observability.js';
import { OperatorAccess } from './OperatorAccess.js';
import { OperatorServer } from './OperatorServer.js';
import { PatchConfigWriter } from './PatchConfigWriter.js';
import { type Settings } from './Settings.js';
import { StatusRoutes } from './StatusRoutes.js';

/** Time for the last returned tickets to be sent before the links are closed. */
const TICKET_RETURN_MS = 50;
/**
 * Shorter than the polling period of any task that reads the list, so each poll gets a new list.
 */
const INSTANCE_LIST_REUSE_MS = 400;

export interface EntryAddresses {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
}

export class Entry extends Disposable {
  readonly follower: ConfigFollower;

  readonly observability: Observability;

  private readonly member: FleetMember;

  private readonly links: PeerLinks;

  readonly gateway: Gateway;

  private readonly operators: OperatorServer;

  private readonly dispatcher: Dispatcher;

  /** The open work on instances that are leaving, as maintenance needs it. */
  readonly work: WorkView;

  readonly maintenance: Maintenance;

  constructor(
    private readonly settings: Settings,
    clock: Clock,
    seed: number,
    logger: Logger = new SilentLogger(),
    tls: EntryTls = EntryTls.none(),
  ) {
    super();
    this.register(tls);
    const random = new Random(seed);
    const incarnation = randomUUID();
    const log = new HttpLogService(this.createPlatformClient(settings.platform.logUrl));
    this.follower = this.register(new ConfigFollower(log, clock, random));
    this.links = this.register(
      new PeerLinks(
        {
          selfEntryId: settings.entryId,
          listenAddress: settings.peerAddress,
          ...tls.peers,
        },
        clock,
        random,
      ),
    );
    this.follower.attach(this.links);
    const { counters } = this.links;
    const { entryId } = settings;
    this.observability = this.register(
      new Observability({
        entryId,
        incarnation,
        config: this.follower,
        log,
        clock,
        random,
        logger,
      }),
    );
    this.observability.addLinkGauges(counters);
    this.register(
      new SnapshotPublisher(
        log,
        this.follower,
        clock,
        random,
        snapshotScheduleFor(settings.platform.logRetentionMs),
      ),
    );
    const directory = new SharedInstanceDirectory(
      new HttpInstanceDirectory(this.createPlatformClient(settings.platform.directoryUrl)),
      clock,
      INSTANCE_LIST_REUSE_MS,
    );
    const services = { log, directory, config: this.follower, network: this.links };
    this.member = this.register(new FleetMember(settings, services, clock, random));
    this.member.membership.watchFreshness(this.follower);
    const { fence, credits } = this.member;
    const homes = new PoolHomes(this.member.membership, this.follower);
    const control = new HttpInstanceControl(
      this.createPlatformClient(settings.platform.controlUrl),
    );
    this.dispatcher = this.register(
      new Dispatcher({
        config: this.follower,
        credits,
        fence,
        homes,
        network: this.links,
        leaving: this.register(new LeavingWatch(directory, clock)),
        control,
        clock,
        random,
        incarnation,
      }),
    );
    this.register(new WorkReporter(homes, this.links, clock));
    this.work = this.register(new FleetWork(homes, this.links, clock));
    this.register(
      this.dispatcher.onFailure((failure) => logger.error('task-failed', { ...failure })),
    );
    this.gateway = this.register(
      new Gateway({
        selfEntryId: settings.entryId,
        config: this.follower,
        fence,
        homes,
        network: this.links,
        log,
        recorder: this.observability.recorder,
        clock,
        random,
        claimHorizon: claimHorizonOptionsFor(settings.platform.logRetentionMs),
        ...(tls.servers ? { tls: tls.servers.options } : {}),
      }),
    );
    const submitter = this.register(new PatchSubmitter(log, this.follower, clock));
    this.maintenance = this.register(
      new Maintenance({
        settings,
        incarnation,
        config: this.follower,
        writer: new PatchConfigWriter(submitter, clock),
        log,
        control,
        directory,
        probe: this.register(new HttpInstanceProbe()),
        runs: this.gateway.runs,
        homes,
        memberEntryIds: () => this.membership.members().map((member) => member.entryId),
        network: this.links,
        clock,
        random,
      }),
    );
    const status = this.register(new FleetStatus(homes, this.links, clock, () => this.ownStatus()));
    this.operators = this.register(
      new OperatorServer(
        [
          ...this.createConfigRoutes(submitter, clock).routes(),
          ...new MaintenanceRoutes(this.follower, this.maintenance, clock).routes(),
          ...new FleetRoutes(this.member).routes(),
          ...new StatusRoutes(status).routes(),
          ...this.observability.routes(),
        ],
        new OperatorAccess(settings.operatorTokenSha256s),
        tls.servers?.options,
      ),
    );
    if (tls.servers) this.register(tls.servers.onChange((options) => this.replaceTls(options)));
  }

  get entryId(): string {
    return this.settings.entryId;
  }

  get membership(): Membership {
    return this.member.membership;
  }

  get fence(): EntryFence {
    return this.member.fence;
  }

  get credits(): CreditLedgerRunner {
    return this.member.credits;
  }

  /** Opens the ports and starts to follow the configuration. Returns the addresses in use. */
  async start(): Promise<EntryAddresses> {
    const listening = await this.links.listen();
    if (listening.isErr()) throw new Error(listening.error.kind, { cause: listening.error });
    void this.follower.run();
    this.links.setPeers(this.settings.peers);
    this.member.start(listening.value);
    this.maintenance.start();
    return {
      peerAddress: listening.value,
      callerAddress: await this.gateway.listen(this.settings.callerAddress),
      operatorAddress: await this.operators.listen(this.settings.operatorAddress),
    };
  }

  /**
   * Stops gracefully: the entry reports that it is not ready and stops being a home, finishes the
   * requests in progress, transfers its credits to the other entries, and appends a leave record,
   * after which they can redistribute the remaining credits.
   */
  async stop(): Promise<void> {
    await this.maintenance.stop();
    this.member.beginStop();
    // Other live entries take over as homes. Without any, this entry dispatches its last requests.
    const others = this.membership.liveEntries().filter((entryId) => entryId !== this.entryId);
    if (others.length > 0) this.dispatcher.stop();
    await this.gateway.stop();
    this.dispatcher.stop();
    await this.member.leave();
    await this.observability.burn.flush();
    // Returned tickets are sent in later turns of the event loop, so the links stay open a while.
    await setTimeout(TICKET_RETURN_MS);
    this.dispose();
  }

  private ownStatus(): EntryStatus {
    const { entryId, zoneId } = this.settings;
    return {
      entryId,
      zoneId,
      configVersion: this.follower.state().version,
      logReachable: this.follower.logReachable,
      fenced: this.fence.reason() ?? '',
      waitingTickets: this.dispatcher.waitingTickets,
      openGrants: this.dispatcher.openGrants,
      requestsInFlight: this.gateway.requestsInFlight,
      residentBytes: process.memoryUsage.rss(),
      teams: this.credits.credits().map(({ teamId, holding, running, stranded }) => ({
        teamId,
        holding,
        running,
        stranded,
      })),
    };
  }

  private replaceTls(options: SecureContextOptions): void {
    this.gateway.replaceTls(options);
    this.operators.replaceTls(options);
  }

  private createConfigRoutes(submitter: PatchSubmitter, clock: Clock): ConfigRoutes {
    const alarms = this.register(new AlarmLog(this.follower, clock));
    return new ConfigRoutes(this.settings.entryId, this.follower, submitter, alarms, clock);
  }

  private createPlatformClient(url: string): HttpPlatformClient {
    const client = new HttpPlatformClient(url);
    this.register(
      toDisposable(() => {
        void client.close();
      }),
    );
    return client;
  }
}
