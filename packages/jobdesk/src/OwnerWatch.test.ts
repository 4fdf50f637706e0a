/** Tests whom the watch takes for gone, and when it stops watching. */
import { SilentLogger, toDisposable } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type GroupMember, type OwnerNotice, PeerNotices } from '@acaciadock/journal';
import { OwnerWatch } from './OwnerWatch.js';

function memberAt(entryId: string, bootMs = 1): GroupMember {
  return { entryId, bootMs, peerAddress: `${entryId}:1`, cpuMilli: 675 };
}

function noticeOf(owner: GroupMember, isReleased = false): OwnerNotice {
  return { owner, epoch: 1, isReleased };
}

class WatchedPeers extends PeerNotices {
  readonly refuse = new Map<string, () => void>();

  override exchangeNotice(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override watch(peerAddress: string, onRefused: () => void): ReturnType<PeerNotices['watch']> {
    this.refuse.set(peerAddress, onRefused);
    return toDisposable(() => this.refuse.delete(peerAddress));
  }
}

function createFixture(): { peers: WatchedPeers; watch: OwnerWatch; fired: () => number } {
  const peers = new WatchedPeers();
  const watch = new OwnerWatch(peers, new SilentLogger());
  let count = 0;
  watch.onGone(() => {
    count += 1;
  });
  return { peers, watch, fired: () => count };
}

describe('OwnerWatch', () => {
  it('takes an owner for gone whose address refuses connections, and reports it once', (t) => {
    const { peers, watch, fired } = createFixture();
    watch.set(noticeOf(memberAt('e0')));
    t.notOk(watch.isGone(memberAt('e0')));
    peers.refuse.get('e0:1')?.();
    peers.refuse.get('e0:1')?.();
    t.ok(watch.isGone(memberAt('e0')));
    t.equal(fired(), 1);
    t.end();
  });

  it('does not take a later process of the same entry for gone', (t) => {
    const { peers, watch } = createFixture();
    watch.set(noticeOf(memberAt('e0', 1)));
    peers.refuse.get('e0:1')?.();
    t.notOk(watch.isGone(memberAt('e0', 2)));
    t.end();
  });

  it('stops watching when there is nobody to watch', (t) => {
    const { peers, watch } = createFixture();
    watch.set(noticeOf(memberAt('e0')));
    watch.set(undefined);
    t.equal(peers.refuse.size, 0);
    watch.set(noticeOf(memberAt('e0')));
    watch.set(noticeOf(memberAt('e0'), true));
    t.equal(peers.refuse.size, 0, 'a released journal has no owner');
    watch.set(noticeOf(memberAt('e1')));
    watch.dispose();
    t.equal(peers.refuse.size, 0);
    t.end();
  });
});
