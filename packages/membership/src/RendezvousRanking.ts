/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every entry ranks the live members for a
 * service by a hash of both names. When a member leaves, only the services whose home it was move.
 */
import xxhash from 'xxhash-wasm';
import { type EntryId, type ServiceId } from '@acaciadock/core';

const { h64 } = await xxhash();

/** Returns the members in order of preference for this service; the first is its home. */
export function rankForService(
  serviceId: ServiceId,
  members: readonly EntryId[],
): readonly EntryId[] {
  return members
    .map((entryId) => ({ entryId, weight: h64(`${serviceId}\n${entryId}`) }))
    .sort((a, b) => {
      if (a.weight !== b.weight) return a.weight > b.weight ? -1 : 1;
      return a.entryId < b.entryId ? -1 : 1;
    })
    .map(({ entryId }) => entryId);
}
