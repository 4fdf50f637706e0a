/** Receives the outcome of each request from the gateway; telemetry implements it. */
import { type RequestId, type ServiceId, type TargetId, type TeamId, type ZoneId } from '../ids.js';

/** Whether the work ran, as reported to the caller. */
export type Executed = 'no' | 'yes' | 'unknown';

export type Urgency = 'urgent' | 'background';

export interface RequestOutcome {
  readonly requestId: RequestId;
  readonly serviceId: ServiceId;
  readonly teamId: TeamId | undefined;
  readonly urgency: Urgency;
  readonly ok: boolean;
  /**
   * The `type` of the problem reported to the caller; undefined if the target's answer was sent.
   */
  readonly problemType: string | undefined;
  readonly executed: Executed;
  readonly attempts: number;
  readonly queuedMs: number;
  readonly totalMs: number;
  readonly targetId: TargetId | undefined;
  readonly zoneId: ZoneId | undefined;
}

export abstract class OutcomeRecorder {
  abstract record(outcome: RequestOutcome): void;
}
