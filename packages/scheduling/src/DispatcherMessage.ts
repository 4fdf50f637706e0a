/** The messages of the dispatcher's mailbox, and the dependencies of the dispatcher. */
import {
  type Clock,
  type CreditSource,
  type Fence,
  type InstanceId,
  type PoolId,
  type Random,
  type TeamId,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type InstanceControl } from '@acaciadock/platform';
import { type LeavingWatch } from './LeavingWatch.js';
import { type PoolHomes } from './PoolHomes.js';
import { type Placement } from './WaitingTicket.js';

export type DispatcherMessage =
  | { readonly kind: 'received'; readonly received: ReceivedMessage }
  | { readonly kind: 'credits'; readonly teamId: TeamId }
  | { readonly kind: 'configured' }
  /** The set of targets that the platform lists as leaving has changed. */
  | { readonly kind: 'listed'; readonly leaving: ReadonlySet<InstanceId> }
  | { readonly kind: 'homes-changed' }
  | { readonly kind: 'checkpoint-failed'; readonly poolId: PoolId; readonly placement: Placement }
  | { readonly kind: 'tick' }
  | { readonly kind: 'flush' }
  | { readonly kind: 'stop' };

export interface DispatcherParts {
  readonly config: ConfigView;
  readonly credits: CreditSource;
  readonly fence: Fence;
  readonly homes: PoolHomes;
  readonly network: PeerNetwork;
  readonly leaving: LeavingWatch;
  readonly control: InstanceControl;
  readonly clock: Clock;
  readonly random: Random;
  /** Unique for each start of the process; part of every grant id. */
  readonly incarnation: string;
}
