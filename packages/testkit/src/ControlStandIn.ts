/**
 * Stand-in for the platform's instance control service. Operations are idempotent by operation id,
 * and a reboot takes a configurable time.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock, EventEmitter, type InstanceId } from '@acaciadock/core';
import { type OperationState } from '@acaciadock/platform';
import { z } from 'zod';
import { AnswerFaults } from './AnswerFaults.js';
import { HttpStandIn } from './HttpStandIn.js';

const requestSchema = z.object({
  action: z.enum(['reboot', 'checkpoint']),
  instanceId: z.string(),
  requestId: z.string().optional(),
});

export interface ControlFaults {
  /** Connections are closed without an answer and without effect. */
  down: boolean;
  /** Number of following calls that take effect but whose answer is lost. */
  loseAnswers: number;
  /** Number of following calls that are refused with status 409, without effect. */
  refuse: number;
  /** Instances whose operations fail. */
  readonly failing: Set<InstanceId>;
}

export interface ControlEvent {
  readonly operationId: string;
  readonly action: 'reboot' | 'checkpoint';
  readonly instanceId: InstanceId;
  readonly requestId: string | undefined;
}

export class ControlStandIn extends HttpStandIn {
  readonly faults: ControlFaults = {
    down: false,
    loseAnswers: 0,
    refuse: 0,
    failing: new Set(),
  };

  /** Faults in the answers to calls that have taken effect. */
  readonly answers: AnswerFaults;

  private readonly operations = new Map<string, OperationState>();

  private readonly startEmitter = new EventEmitter<ControlEvent>();

  private readonly endEmitter = new EventEmitter<ControlEvent>();

  /** Fires once for each operation that is started; repeated calls do not fire it again. */
  readonly onStart = this.startEmitter.event;

  /** Fires when an operation has succeeded or failed. */
  readonly onEnd = this.endEmitter.event;

  constructor(
    private readonly clock: Clock,
    public rebootMs = 200,
  ) {
    super();
    this.answers = new AnswerFaults(clock);
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.down) {
      response.destroy();
      return;
    }
    if (this.faults.refuse > 0) {
      this.faults.refuse -= 1;
      HttpStandIn.send(response, 409, { detail: 'refused' });
      return;
    }
    const operationId = (request.url ?? '').split('/').pop() ?? '';
    if (request.method === 'POST') {
      this.start(operationId, requestSchema.parse(await HttpStandIn.readJson(request)));
    }
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    await this.answers.send(response, 200, {
      state: this.operations.get(operationId) ?? 'unknown',
    });
  }

  private start(operationId: string, request: z.infer<typeof requestSchema>): void {
    if (this.operations.has(operationId)) return;
    const event = { operationId, ...request, requestId: request.requestId };
    this.operations.set(operationId, 'running');
    this.startEmitter.fire(event);
    const durationMs = request.action === 'reboot' ? this.rebootMs : 0;
    this.clock.after(durationMs, () => {
      const failed = this.faults.failing.has(request.instanceId);
      this.operations.set(operationId, failed ? 'failed' : 'succeeded');
      this.endEmitter.fire(event);
    });
  }
}
