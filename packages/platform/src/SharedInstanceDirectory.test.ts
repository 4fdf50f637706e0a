import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { ok } from 'neverthrow';
import { InstanceDirectory, type InstanceList } from './InstanceDirectory.js';
import { SharedInstanceDirectory } from './SharedInstanceDirectory.js';

const MAX_AGE_MS = 700;

class CountingDirectory extends InstanceDirectory {
  requestCount = 0;

  override async list(): ReturnType<InstanceDirectory['list']> {
    this.requestCount += 1;
    const list: InstanceList = { observedAtMs: this.requestCount, instances: [] };
    return ok(list);
  }
}

describe('SharedInstanceDirectory', () => {
  it('shares one request between concurrent calls', async (t) => {
    const directory = new CountingDirectory();
    const shared = new SharedInstanceDirectory(directory, new ManualClock(), MAX_AGE_MS);
    await Promise.all([shared.list(), shared.list(), shared.list()]);
    t.equal(directory.requestCount, 1);
  });

  it('requests the list again once the cached result has expired', async (t) => {
    const clock = new ManualClock();
    const directory = new CountingDirectory();
    const shared = new SharedInstanceDirectory(directory, clock, MAX_AGE_MS);
    await shared.list();
    clock.advance(MAX_AGE_MS - 1);
    t.match(await shared.list(), { value: { observedAtMs: 1 } });
    clock.advance(1);
    t.match(await shared.list(), { value: { observedAtMs: 2 } });
  });
});
