/** The components of the gateway that a `RequestRun` uses. */
import { type Clock, type Fence, type Random } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type AnswerExchange } from './claims/AnswerExchange.js';
import { type AnswerStore } from './claims/AnswerStore.js';
import { type ClaimRegistry } from './claims/ClaimRegistry.js';
import { type TargetClient } from './TargetClient.js';
import { type DispatchClient } from './DispatchClient.js';

export interface RunServices {
  readonly config: ConfigView;
  readonly fence: Fence;
  readonly dispatch: DispatchClient;
  readonly targets: TargetClient;
  readonly claims: ClaimRegistry;
  readonly answers: AnswerStore;
  readonly answerExchange: AnswerExchange;
  readonly clock: Clock;
  readonly random: Random;
}
