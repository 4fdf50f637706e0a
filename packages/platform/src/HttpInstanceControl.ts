/** Implements `InstanceControl` with the platform's HTTP interface. */
import { type InstanceId } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type HttpPlatformClient } from './HttpPlatformClient.js';
import {
  type ControlFailure,
  InstanceControl,
  type OperationState,
  operationStateSchema,
} from './InstanceControl.js';

const CONTROL_TIMEOUT_MS = 3_000;
const answerSchema = z.object({ state: operationStateSchema });

export class HttpInstanceControl extends InstanceControl {
  constructor(private readonly client: HttpPlatformClient) {
    super();
  }

  override reboot(
    operationId: string,
    instanceId: InstanceId,
  ): Promise<Result<OperationState, ControlFailure>> {
    return this.call('POST', `/operations/${operationId}`, { action: 'reboot', instanceId });
  }

  override operation(operationId: string): Promise<Result<OperationState, ControlFailure>> {
    return this.call('GET', `/operations/${operationId}`);
  }

  override checkpoint(
    operationId: string,
    instanceId: InstanceId,
    requestId: string,
  ): Promise<Result<OperationState, ControlFailure>> {
    const body = { action: 'checkpoint', instanceId, requestId };
    return this.call('POST', `/operations/${operationId}`, body);
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<OperationState, ControlFailure>> {
    const answer = await this.client.call({ method, path, body, timeoutMs: CONTROL_TIMEOUT_MS });
    if (answer.isErr()) {
      return err({
        kind: answer.error.kind === 'unreachable' ? 'control-unreachable' : 'control-unknown',
      });
    }
    const { statusCode, body: answered } = answer.value;
    if (statusCode >= 500) return err({ kind: 'control-unknown' });
    if (statusCode >= 400) return err({ kind: 'control-refused', detail: String(statusCode) });
    const parsed = answerSchema.safeParse(answered);
    if (!parsed.success) return err({ kind: 'control-malformed', detail: parsed.error.message });
    return ok(parsed.data.state);
  }
}
