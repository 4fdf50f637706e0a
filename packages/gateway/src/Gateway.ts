/** Builds the gateway of one entry, and starts and stops its parts in order. */
import { type SecureContextOptions } from 'node:tls';
import {
  type Clock,
  Disposable,
  type EntryId,
  type Fence,
  type HomeMap,
  type OutcomeRecorder,
  type Random,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type PeerNetwork } from '@acaciadock/peers';
import { type LogService } from '@acaciadock/platform';
import { type AnswerCounts } from './AnswerCounts.js';
import { CallerServer, type CallerLimits } from './CallerServer.js';
import { AnswerDesk } from './claims/AnswerDesk.js';
import { AnswerStore } from './claims/AnswerStore.js';
import { type ClaimHorizonOptions } from './claims/ClaimHorizon.js';
import { ClaimLedger } from './claims/ClaimLedger.js';
import { type OpenRuns } from './OpenRuns.js';
import { TargetClient } from './TargetClient.js';
import { TicketDesk } from './TicketDesk.js';

const MOST_KEPT_ANSWER_BYTES = 32 * 1024 * 1024;
const DRAIN_POLL_MS = 20;
const MOST_DRAIN_MS = 1_000;

export interface GatewayParts {
  readonly selfEntryId: EntryId;
  readonly config: ConfigView;
  readonly fence: Fence;
  readonly homes: HomeMap;
  readonly network: PeerNetwork;
  readonly log: LogService;
  readonly recorder: OutcomeRecorder;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits?: CallerLimits;
  readonly claimHorizon: ClaimHorizonOptions;
  readonly tls?: SecureContextOptions;
}

export class Gateway extends Disposable {
  readonly claims: ClaimLedger;

  private readonly desk: TicketDesk;

  private readonly targets: TargetClient;

  private readonly callers: CallerServer;

  private readonly clock: Clock;

  constructor(parts: GatewayParts) {
    super();
    this.clock = parts.clock;
    const { config, fence, homes, network, clock, random } = parts;
    this.claims = this.register(
      new ClaimLedger(parts.selfEntryId, homes, parts.log, clock, random, parts.claimHorizon),
    );
    this.desk = this.register(new TicketDesk(homes, network, clock));
    this.targets = this.register(new TargetClient(homes, config, clock));
    const answers = new AnswerStore(MOST_KEPT_ANSWER_BYTES);
    const services = {
      config,
      fence,
      desk: this.desk,
      targets: this.targets,
      claims: this.claims,
      answers,
      answerDesk: this.register(new AnswerDesk(answers, network, clock)),
      clock,
      random,
    };
    this.callers = this.register(
      new CallerServer(services, parts.recorder, parts.limits, parts.tls),
    );
  }

  /** Answers that were dropped since the start, by cause. */
  get droppedAnswers(): AnswerCounts {
    return this.targets.dropped;
  }

  /** Sends that have not ended, by target and by service. */
  get runs(): OpenRuns {
    return this.targets.runs;
  }

  /** Requests that have no end yet. */
  get requestsInFlight(): number {
    return this.callers.requestsInFlight;
  }

  /** Tickets that wait for a grant. */
  get waitingTickets(): number {
    return this.desk.waitingTickets;
  }

  /** Bytes of bodies that are held now. */
  get heldBodyBytes(): number {
    return this.callers.heldBodyBytes;
  }

  /** Begins to follow the claims and to listen for callers; returns the address in use. */
  listen(address: string): Promise<string> {
    void this.claims.run();
    return this.callers.listen(address);
  }

  /** Takes new certificates for connections that are made from now on. */
  replaceTls(tls: SecureContextOptions): void {
    this.callers.replaceTls(tls);
  }

  /** Graceful stop: requests and sends in progress end, and their homes are told. */
  async stop(): Promise<void> {
    await this.callers.stop();
    while (this.targets.runs.total > 0) await this.clock.sleep(DRAIN_POLL_MS);
    await this.desk.drain(MOST_DRAIN_MS);
  }
}
