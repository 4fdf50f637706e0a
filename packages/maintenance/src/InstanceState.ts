/**
 * The states of an instance under maintenance and the transitions between them. Giving a step up
 * goes through `probing` like the end of a reboot, so no instance returns without a health check.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

export const instanceStateSchema = z.enum([
  /** Takes work. */
  'serving',
  /** Gets no new work; runs of before may still be open. */
  'draining',
  /** No run is open anywhere. */
  'drained',
  /** The platform was, or is about to be, asked to reboot it. */
  'rebooting',
  /** Waits until its health checks pass. */
  'probing',
  /** Did not return from a step; an operator decides. */
  'failed',
  /** Is being given to another pool. */
  'moving',
  /** In a spare pool: serves nobody. */
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

/** The new state, or why the step is not allowed. */
export function transition(
  from: InstanceState,
  to: InstanceState,
): Result<InstanceState, TransitionRefused> {
  if (NEXT_STATES[from].includes(to)) return ok(to);
  return err({ kind: 'transition-refused', from, to });
}

/** Whether a job in this state has ended. */
export function isAtRest(state: InstanceState): boolean {
  return state === 'serving' || state === 'spare';
}
