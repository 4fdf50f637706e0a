/** The faults of a store that serves all calls, to be assigned when a disturbance ends. */
import { type StoreFaults } from '@acaciadock/coordinator/testing';

export const CALM_STORE: StoreFaults = {
  isDown: false,
  isSilent: false,
  isResetting: false,
  lostAnswerShare: 0,
  latencyMs: 4,
};
