/**
 * The states of an instance under maintenance and the transitions between them. A cancelled step
 * passes through `probing` just like a completed reboot, so except for a completed move no instance
 * returns to service without a health check.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

export const instanceStateSchema = z.enum([
  /** Takes work. */
  'serving',
  /** Gets no new work; earlier runs may still be open. */
  'draining',
  /** No run is open at any gateway. */
  'drained',
  /** The reboot is recorded; the platform has been or is about to be called. */
  'rebooting',
  /** Waits until the health checks pass. */
  'probing',
  /** Did not become healthy after a step, or its reboot failed; an operator must decide. */
  'failed',
  /** Is being reassigned to another pool. */
  'moving',
  /** Belongs to a spare pool and serves no requests. */
  'spare',
]);

export type InstanceState = z.infer<typeof instanceStateSchema>;

export interface TransitionRefused {
  readonly kind: 'transition-refused';
  readonly from: InstanceState;
  readonly to: InstanceState;
}

const NEXT_STATES: Readonly<Record<InstanceState, readonly InstanceState[]>> = {
  serving: ['draining'],
  spare: ['draining'],
  draining: ['drained', 'probing'],
  drained: ['rebooting', 'moving', 'probing'],
  rebooting: ['probing', 'failed'],
  probing: ['serving', 'spare', 'failed'],
  moving: ['serving', 'spare', 'probing'],
  failed: ['probing'],
};

/** The new state, or an error if the transition is not allowed. */
export function transition(
  from: InstanceState,
  to: InstanceState,
): Result<InstanceState, TransitionRefused> {
  if (NEXT_STATES[from].includes(to)) return ok(to);
  return err({ kind: 'transition-refused', from, to });
}

/** Whether a job ends when its instance reaches this state. */
export function endsJob(state: InstanceState): boolean {
  return state === 'serving' || state === 'spare';
}
