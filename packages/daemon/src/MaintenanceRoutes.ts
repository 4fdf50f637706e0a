/**
 * HTTP routes by which operators see instance states, roll-outs, moves and the plan, and send
 * commands.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, idSchema } from '@acaciadock/core';
import { type ConfigDocument, type ConfigView } from '@acaciadock/config';
import {
  type CommandOutcome,
  commandSchema,
  estimateRollOut,
  instanceStates,
  type SparePlan,
  SparePlanner,
} from '@acaciadock/maintenance';
import { z } from 'zod';
import { type Maintenance } from './Maintenance.js';
import { type OperatorAnswer, type OperatorRequest, type OperatorRoute } from './OperatorRoute.js';

const BODY_STATUS = { 'body-too-large': 413, 'body-no-json': 400 } as const;
const OUTCOME_STATUS: Readonly<Record<CommandOutcome['kind'], number>> = {
  accepted: 200,
  'not-applicable': 409,
  'not-appended': 503,
  unknown: 504,
};

/**
 * A short form of the command that starts a roll-out: it names pools, and the instances are filled in
 * from the configuration.
 */
const startRollOutSchema = z.strictObject({
  action: z.literal('start-roll-out'),
  rollOutId: idSchema,
  /** Pools to include; all if omitted. */
  poolIds: z.array(idSchema).optional(),
  /** Taken from the chosen plan if omitted. */
  racksAtOnce: z.int().min(1).optional(),
});

const bodySchema = z.strictObject({
  /** Idempotency key chosen by the caller: a repeat with the same id is the same command. */
  commandId: idSchema.default(() => randomUUID()),
  author: z.string().min(1).max(200).default('operator'),
  command: z.union([commandSchema, startRollOutSchema]),
});

/** A plan as shown to operators, with the number of waves in place of the waves themselves. */
function summarizePlan(plan: SparePlan): unknown {
  const { waves, ...figures } = plan.schedule;
  return { ...plan, schedule: { ...figures, waves: waves.length } };
}

export class MaintenanceRoutes {
  constructor(
    private readonly config: ConfigView,
    private readonly maintenance: Maintenance,
    private readonly clock: Clock,
  ) {}

  routes(): readonly OperatorRoute[] {
    return [
      { method: 'GET', path: '/v1/maintenance', answer: () => this.status() },
      { method: 'GET', path: '/v1/maintenance/plan', answer: () => this.plan() },
      {
        method: 'POST',
        path: '/v1/maintenance/commands',
        answer: (request) => this.command(request),
      },
      { method: 'GET', path: '/v1/instances', answer: () => this.instances() },
    ];
  }

  private status(): OperatorAnswer {
    const { reader, role, controller } = this.maintenance;
    const { state } = reader;
    const { rollOut } = state;
    const body = {
      caughtUp: reader.isCaughtUp,
      controllerEntryId: state.lease?.entryId,
      /** Only the controller knows what a drain or the roll-out is waiting for. */
      isController: role.epoch !== undefined,
      rollOut: rollOut && { ...rollOut, ...estimateRollOut(rollOut, this.clock.unixMs()) },
      waitsFor: controller.wait,
      jobs: Object.values(state.jobs).map((job) => ({
        ...job,
        waitsFor: role.epoch === undefined ? undefined : controller.blockers(job.instanceId),
      })),
      wantedMoves: state.wantedMoves,
    };
    return { statusCode: 200, body };
  }

  private instances(): OperatorAnswer {
    const { document } = this.config.state();
    return { statusCode: 200, body: instanceStates(document, this.maintenance.reader.state) };
  }

  private plan(): OperatorAnswer {
    const { document } = this.config.state();
    if (Object.keys(document.instances).length === 0) {
      return { statusCode: 409, body: { kind: 'no-instances' } };
    }
    const { chosen, baselines, reasons } = this.planner(document).choose();
    const compared = Object.entries(baselines).map(([name, plan]) => [name, summarizePlan(plan)]);
    return {
      statusCode: 200,
      body: {
        weights: document.policy.weights,
        chosen: summarizePlan(chosen),
        baselines: Object.fromEntries(compared) as unknown,
        reasons,
      },
    };
  }

  private async command(request: OperatorRequest): Promise<OperatorAnswer> {
    const read = await request.json();
    if (read.isErr()) return { statusCode: BODY_STATUS[read.error.kind], body: read.error };
    const body = bodySchema.safeParse(read.value);
    if (!body.success) {
      return { statusCode: 400, body: { kind: 'command-malformed', detail: body.error.message } };
    }
    const { commandId, author, command } = body.data;
    const whole = startRollOutSchema.safeParse(command);
    const parsedCommand = commandSchema.safeParse(
      whole.success ? this.completeRollOut(whole.data) : command,
    );
    if (!parsedCommand.success) return { statusCode: 409, body: { kind: 'no-instances' } };
    const outcome = await this.maintenance.commands.submit(commandId, author, parsedCommand.data);
    return { statusCode: OUTCOME_STATUS[outcome.kind], body: outcome };
  }

  private completeRollOut({
    action,
    rollOutId,
    poolIds,
    racksAtOnce,
  }: z.infer<typeof startRollOutSchema>): unknown {
    const { document } = this.config.state();
    const selectedPools = poolIds && new Set(poolIds);
    const instanceIds = Object.entries(document.instances)
      .filter(([, { poolId }]) => selectedPools?.has(poolId) ?? true)
      .map(([instanceId]) => instanceId);
    if (instanceIds.length === 0) return undefined;
    const planned = this.planner(document).choose().chosen.use.racksAtOnce;
    return { action, rollOutId, instanceIds, racksAtOnce: racksAtOnce ?? planned };
  }

  private planner(document: ConfigDocument): SparePlanner {
    return new SparePlanner(document, this.maintenance.demand.demand());
  }
}
