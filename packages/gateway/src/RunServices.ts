/** What a request needs from the gateway while it runs. */
import { type Clock, type Fence, type Random } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type AnswerDesk } from './claims/AnswerDesk.js';
import { type AnswerStore } from './claims/AnswerStore.js';
import { type ClaimBook } from './claims/ClaimBook.js';
import { type TargetClient } from './TargetClient.js';
import { type TicketDesk } from './TicketDesk.js';

export interface RunServices {
  readonly config: ConfigView;
  readonly fence: Fence;
  readonly desk: TicketDesk;
  readonly targets: TargetClient;
  readonly claims: ClaimBook;
  readonly answers: AnswerStore;
  readonly answerDesk: AnswerDesk;
  readonly clock: Clock;
  readonly random: Random;
}
