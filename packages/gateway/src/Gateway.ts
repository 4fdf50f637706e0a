/** Assembles the gateway of one entry, and starts and stops its components in order. */
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
import { AnswerExchange } from './claims/AnswerExchange.js';
import { AnswerStore } from './claims/AnswerStore.js';
import { type ClaimHorizonOptions } from './claims/ClaimHorizon.js';
import { ClaimLedger } from './claims/ClaimLedger.js';
import { type OpenRuns } from './OpenRuns.js';
import { TargetClient } from './TargetClient.js';
import { DispatchClient } from './DispatchClient.js';

const MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024;
const DRAIN_POLL_MS = 20;
const MAX_DRAIN_MS = 1_000;

export interface GatewayDependencies {
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

  private readonly dispatch: DispatchClient;

  private readonly targets: TargetClient;

  private readonly callers: CallerServer;

  private readonly clock: Clock;

  constructor(dependencies: GatewayDependencies) {
    super();
    this.clock = dependencies.clock;
    const { config, fence, homes, network, clock, random } = dependencies;
    this.claims = this.register(
      new ClaimLedger(
        dependencies.selfEntryId,
        homes,
        dependencies.log,
        clock,
        random,
        dependencies.claimHorizon,
      ),
    );
    this.dispatch = this.register(new DispatchClient(homes, network, clock));
    this.targets = this.register(new TargetClient(homes, config, clock));
    const answers = new AnswerStore(MAX_KEPT_ANSWER_BYTES);
    const services = {
      config,
      fence,
      dispatch: this.dispatch,
      targets: this.targets,
      claims: this.claims,
      answers,
      answerExchange: this.register(new AnswerExchange(answers, network, clock)),
      clock,
      random,
    };
    this.callers = this.register(
      new CallerServer(services, dependencies.recorder, dependencies.limits, dependencies.tls),
    );
  }

  /** Number of answers dropped since the start, by cause. */
  get droppedAnswers(): AnswerCounts {
    return this.targets.dropped;
  }

  /** Numbers of runs that have not ended, by target and by service. */
  get runs(): OpenRuns {
    return this.targets.runs;
  }

  /** Number of requests that have not ended yet. */
  get requestsInFlight(): number {
    return this.callers.requestsInFlight;
  }

  /** Number of tickets that wait for a grant. */
  get waitingTickets(): number {
    return this.dispatch.waitingTickets;
  }

  /** Total size of the request bodies that are held now. */
  get heldBodyBytes(): number {
    return this.callers.heldBodyBytes;
  }

  /** Starts following the claims stream and listening for callers; returns the address in use. */
  listen(address: string): Promise<string> {
    void this.claims.run();
    return this.callers.listen(address);
  }

  /** Uses new certificates for connections accepted from now on. */
  replaceTls(tls: SecureContextOptions): void {
    this.callers.replaceTls(tls);
  }

  /**
   * Stops gracefully: waits for requests and runs in flight to end, then for their homes to
   * acknowledge the ended grants.
   */
  async stop(): Promise<void> {
    await this.callers.stop();
    while (this.targets.runs.total > 0) await this.clock.sleep(DRAIN_POLL_MS);
    await this.dispatch.drain(MAX_DRAIN_MS);
  }
}
