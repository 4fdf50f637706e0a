/**
 * The platform's control over instances. Each call carries an operation id made by the caller;
 * repeating a call under the same id has no further effect and tells the same operation's state.
 */
import { type InstanceId } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import { z } from 'zod';

export const operationStateSchema = z.enum(['unknown', 'running', 'succeeded', 'failed']);
export type OperationState = z.infer<typeof operationStateSchema>;

export type ControlFailure =
  | { readonly kind: 'control-unreachable' }
  /** No answer came: the call may have taken effect. Repeat it under the same operation id. */
  | { readonly kind: 'control-unknown' }
  | { readonly kind: 'control-refused'; readonly detail: string }
  | { readonly kind: 'control-malformed'; readonly detail: string };

export abstract class InstanceControl {
  /** Starts a reboot of the instance, or returns the state of the one started under this id. */
  abstract reboot(
    operationId: string,
    instanceId: InstanceId,
  ): Promise<Result<OperationState, ControlFailure>>;

  /** The state of an operation; `unknown` if the platform never saw the id. */
  abstract operation(operationId: string): Promise<Result<OperationState, ControlFailure>>;

  /** Asks a target to checkpoint and stop the background task of a request. */
  abstract checkpoint(
    operationId: string,
    instanceId: InstanceId,
    requestId: string,
  ): Promise<Result<OperationState, ControlFailure>>;
}
