/** Tests which earlier owners are taken for still extending leases, given the record of the last one. */
import { INCUMBENT_KEY, type OwnerRecord } from '@acaciadock/coordinator';
import { PausableClock, SimulatedGroup, SimulatedStore } from '@acaciadock/coordinator/testing';
import { ManualClock, Random, SilentLogger, toDisposable } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import {
  type GroupMember,
  type OwnerNotice,
  type PeerAnswer,
  PeerNotices,
} from '@acaciadock/journal';
import { OwnerAnnouncer } from './OwnerAnnouncer.js';
import { OwnerDirectory } from './OwnerDirectory.js';
import { PreviousOwner } from './PreviousOwner.js';

const EPOCH = 7;

function memberAt(entryId: string): GroupMember {
  return { entryId, bootMs: 1, peerAddress: `${entryId}:1`, cpuMilli: 675 };
}

function ownerAt(entryId: string, epoch: number): Omit<OwnerRecord, 'formerMayExtend'> {
  return { entryId, bootMs: 1, peerAddress: `${entryId}:1`, epoch };
}

/** At every address a later process answers. */
class RestartedPeers extends PeerNotices {
  override exchangeNotice(peerAddress: string): Promise<PeerAnswer | undefined> {
    const [entryId = ''] = peerAddress.split(':');
    return Promise.resolve({
      process: { entryId, bootMs: 2 },
      notice: undefined,
      isHealthyOwner: false,
      isLoading: false,
      isServedByStore: true,
    });
  }

  override watch(): ReturnType<PeerNotices['watch']> {
    return toDisposable(() => undefined);
  }
}

/** The owners before a claim of `self`, while the processes of the given entries have ended. */
async function createPreviousOwner(
  value: string | undefined,
  endedIds: readonly string[] = [],
  notices: readonly OwnerNotice[] = [],
): Promise<PreviousOwner> {
  const base = new ManualClock();
  const clock = new PausableClock(base);
  const logger = new SilentLogger();
  const store = new SimulatedStore(base, new Random(1));
  const faults = { isDown: false, lostAnswerShare: 0, latencyMs: 0 };
  const group = new SimulatedGroup(store, clock, faults);
  const deps = { group, peers: new RestartedPeers(), clock, logger };
  const self = memberAt('self');
  const directory = new OwnerDirectory(self, deps);
  await Promise.all(endedIds.map((entryId) => directory.queryPeer(memberAt(entryId))));
  notices.forEach((notice) => directory.accept(notice, 'store'));
  const records =
    value === undefined ? [] : [{ key: INCUMBENT_KEY, value: Buffer.from(value), offset: 0 }];
  const owned = { epoch: EPOCH, nextOffset: EPOCH + 1, records };
  return new PreviousOwner(owned, self, directory, new OwnerAnnouncer(self, directory, deps), deps);
}

function extendingIds({ extending }: PreviousOwner): string[] | undefined {
  return extending?.map(({ entryId }) => entryId);
}

describe('PreviousOwner', () => {
  it('is nobody if there is no record', async (t) => {
    const previous = await createPreviousOwner(undefined);
    t.ok(previous.hasStoppedExtending);
  });

  it('is the owner of the record until its process is known to have ended', async (t) => {
    const record = JSON.stringify({ ...ownerAt('e0', 3), formerMayExtend: false });
    t.same(extendingIds(await createPreviousOwner(record)), ['e0']);
    t.ok((await createPreviousOwner(record, ['e0'])).hasStoppedExtending);
  });

  it('has stopped if it announced its release before the claim was announced', async (t) => {
    // Fails if the announcement of the claim, read back during the load, makes the release forgotten.
    const record = JSON.stringify({ ...ownerAt('e0', 3), formerMayExtend: false });
    const release = { owner: memberAt('e0'), epoch: 3, isReleased: true };
    const claim = { owner: memberAt('self'), epoch: EPOCH, isReleased: false };
    t.ok((await createPreviousOwner(record, [], [release, claim])).hasStoppedExtending);
    const otherRelease = { ...release, epoch: 2 };
    t.notOk((await createPreviousOwner(record, [], [otherRelease, claim])).hasStoppedExtending);
  });

  it('includes the owners before that one that may still extend leases', async (t) => {
    // Fails if the end of the last owner alone counts: a task then runs twice.
    const formers = [ownerAt('e1', 1), ownerAt('e2', 2)];
    const record = JSON.stringify({ ...ownerAt('e0', 3), formerMayExtend: true, formers });
    t.same(extendingIds(await createPreviousOwner(record)), ['e1', 'e2', 'e0']);
    const previous = await createPreviousOwner(record, ['e0', 'e1']);
    t.same(extendingIds(previous), ['e2']);
    t.notOk(previous.hasStoppedExtending);
    t.ok((await createPreviousOwner(record, ['e0', 'e1', 'e2'])).hasStoppedExtending);
  });

  it('is unknown if the record does not name all of them', async (t) => {
    // Records of earlier builds name none.
    const record = JSON.stringify({ ...ownerAt('e0', 3), formerMayExtend: true });
    const previous = await createPreviousOwner(record, ['e0']);
    t.equal(previous.extending, undefined);
    t.notOk(previous.hasStoppedExtending);
  });

  it('is unknown if there are too many of them to be named', async (t) => {
    const formers = Array.from({ length: 8 }, (_, index) => ownerAt(`e${index + 1}`, index));
    const record = JSON.stringify({ ...ownerAt('e0', 9), formerMayExtend: true, formers });
    const all = ['e0', ...formers.map(({ entryId }) => entryId)];
    t.notOk((await createPreviousOwner(record, all)).hasStoppedExtending);
  });

  it('is unknown if the record is malformed', async (t) => {
    t.notOk((await createPreviousOwner('{"entryId":1}')).hasStoppedExtending);
  });
});
