/** The evacuation decision of a world in which no zone is evacuated. */
import { type Clock } from '@acaciadock/core';
import { ZoneEvacuation } from '../ZoneEvacuation.js';

export function withoutEvacuation(clock: Clock): ZoneEvacuation {
  return new ZoneEvacuation(
    () => ({ zones: new Map(), asOfMs: Infinity, asOfUnixMs: Infinity }),
    clock,
  );
}
