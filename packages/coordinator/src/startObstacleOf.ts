/**
 * Why a planned run must not be ordered any more: it may have taken seconds to record it, and what its
 * placement rests on may have changed meanwhile.
 */
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';

export type StartObstacle =
  | 'ownership-unproven'
  | 'target-silent'
  | 'target-draining'
  | 'zone-evacuated'
  | 'target-reborn'
  | 'capacity-shrunk';

/** Returns undefined if nothing speaks against the start. */
export function startObstacleOf(
  { place, bornMs }: LiveRun,
  target: FleetTarget,
  ownership: Ownership,
): StartObstacle | undefined {
  if (!ownership.mayExtendLeases) return 'ownership-unproven';
  if (target.consecutiveFailures > 0) return 'target-silent';
  if (target.isDraining) return 'target-draining';
  if (!target.mayStartInZone) return 'zone-evacuated';
  // Another lifetime may be of another kind than the one for which the run was planned.
  const isReborn = target.bornMs !== bornMs || target.hasUnknownLifetime;
  if (isReborn || target.isListingOutdated) return 'target-reborn';
  return target.isOverfilledFor(place.step.spec) ? 'capacity-shrunk' : undefined;
}
