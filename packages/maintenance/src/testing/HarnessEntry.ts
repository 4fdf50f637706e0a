/** The maintenance components of one entry, connected to the fakes of the harness. */
import { type Clock, Disposable, type EntryId, type HomeMap, Random } from '@acaciadock/core';
import { type PeerNetwork } from '@acaciadock/peers';
import { type InstanceControl, type InstanceDirectory } from '@acaciadock/platform';
import { CommandSubmitter } from '../CommandSubmitter.js';
import { ControlReader } from '../ControlReader.js';
import { DemandSmoother } from '../DemandSmoother.js';
import { DrainTracker } from '../DrainTracker.js';
import { type InstanceProbe } from '../InstanceProbe.js';
import { JobDecider } from '../JobDecider.js';
import { MaintenanceController } from '../MaintenanceController.js';
import { ControllerRole } from '../ControllerRole.js';
import { type RunCounter } from '../RunCounter.js';
import { WorkResponder } from '../WorkResponder.js';
import { WorkSurvey } from '../WorkSurvey.js';
import { type MemoryLog } from './MemoryLog.js';
import { type SharedConfig } from './SharedConfig.js';

const LEASE_MS = 2_000;
const TICK_MS = 50;

export interface HarnessServices {
  readonly clock: Clock;
  readonly log: MemoryLog;
  readonly config: SharedConfig;
  readonly platform: InstanceControl;
  readonly directory: InstanceDirectory;
  readonly probe: InstanceProbe;
  readonly homes: HomeMap;
  readonly entryIds: readonly EntryId[];
  runsOf(entryId: EntryId): RunCounter;
}

export class HarnessEntry extends Disposable {
  readonly reader: ControlReader;

  readonly role: ControllerRole;

  readonly controller: MaintenanceController;

  readonly commands: CommandSubmitter;

  private readonly survey: WorkSurvey;

  constructor(
    harness: HarnessServices,
    readonly entryId: EntryId,
    network: PeerNetwork,
    seed: number,
  ) {
    super();
    const { clock, log, config } = harness;
    const random = new Random(seed);
    this.reader = new ControlReader(log, clock, random);
    const options = { entryId, incarnation: `${entryId}-1`, leaseMs: LEASE_MS };
    this.role = new ControllerRole(options, log, this.reader, clock, random);
    this.commands = new CommandSubmitter(log, this.reader, clock);
    const tracker = new DrainTracker(clock);
    const demand = new DemandSmoother(clock);
    this.register(new WorkResponder(config, harness.runsOf(entryId), network));
    this.survey = new WorkSurvey(entryId, harness.homes, network, tracker, demand, clock);
    this.controller = new MaintenanceController(
      {
        config,
        writer: config,
        log,
        reader: this.reader,
        role: this.role,
        control: harness.platform,
        directory: harness.directory,
        probe: harness.probe,
        tracker,
        survey: this.survey,
        demand,
        decider: new JobDecider({ checksToReturn: 2, probeTimeoutMs: 5_000 }),
        clock,
      },
      {
        tickMs: TICK_MS,
        listPeriodMs: 200,
        surveyPeriodMs: 100,
        knownEntryIds: () => harness.entryIds,
      },
    );
    void this.reader.run();
    this.controller.start();
  }

  /** Stops the controller without releasing the role; the gateway's part keeps running. */
  killController(): void {
    [this.controller, this.survey, this.role, this.reader].forEach((part) => part.dispose());
  }
}
