/** Creates the maintenance components of an entry and passes each its dependencies. */
import { type Clock, Disposable, type EntryId, type HomeMap, type Random } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import {
  CommandSubmitter,
  type ConfigWriter,
  ControlReader,
  DemandSmoother,
  DrainTracker,
  type InstanceProbe,
  JobDecider,
  MaintenanceController,
  ControllerRole,
  type RunCounter,
  WorkResponder,
  WorkSurvey,
} from '@acaciadock/maintenance';
import { type PeerNetwork } from '@acaciadock/peers';
import {
  type InstanceControl,
  type InstanceDirectory,
  type LogService,
} from '@acaciadock/platform';
import { type Settings } from './Settings.js';

export interface MaintenanceServices {
  readonly settings: Settings;
  readonly incarnation: string;
  readonly config: ConfigView;
  readonly writer: ConfigWriter;
  readonly log: LogService;
  readonly control: InstanceControl;
  readonly directory: InstanceDirectory;
  readonly probe: InstanceProbe;
  readonly runs: RunCounter;
  readonly homes: HomeMap;
  /** Returns the entries in the roster, whether or not they are live. */
  readonly memberEntryIds: () => readonly EntryId[];
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
}

export class Maintenance extends Disposable {
  readonly reader: ControlReader;

  readonly commands: CommandSubmitter;

  readonly role: ControllerRole;

  readonly controller: MaintenanceController;

  readonly demand: DemandSmoother;

  constructor(services: MaintenanceServices) {
    super();
    const { settings, incarnation, config, log, network, clock, random } = services;
    const { maintenance, entryId } = settings;
    this.register(new WorkResponder(config, services.runs, network));
    this.reader = this.register(new ControlReader(log, clock, random));
    this.commands = this.register(new CommandSubmitter(log, this.reader, clock));
    const roleOptions = { entryId, incarnation, leaseMs: maintenance.leaseMs };
    this.role = this.register(new ControllerRole(roleOptions, log, this.reader, clock, random));
    this.demand = new DemandSmoother(clock);
    const tracker = new DrainTracker(clock, maintenance);
    const survey = this.register(
      new WorkSurvey(incarnation, services.homes, network, tracker, this.demand, clock),
    );
    this.controller = this.register(
      new MaintenanceController(
        {
          ...services,
          reader: this.reader,
          role: this.role,
          tracker,
          survey,
          demand: this.demand,
          decider: new JobDecider(maintenance),
        },
        { ...maintenance, knownEntryIds: services.memberEntryIds },
      ),
    );
  }

  start(): void {
    void this.reader.run();
    this.controller.start();
  }

  /** Releases the controller's role, so that a successor need not wait for the lease to expire. */
  async stop(): Promise<void> {
    await this.role.release();
  }
}
