import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { ok } from 'neverthrow';
import { InstanceDirectory, type InstanceList } from './InstanceDirectory.js';
import { SharedInstanceDirectory } from './SharedInstanceDirectory.js';

const REUSE_MS = 700;

class CountingDirectory extends InstanceDirectory {
  readings = 0;

  override async list(): ReturnType<InstanceDirectory['list']> {
    this.readings += 1;
    const list: InstanceList = { observedAtMs: this.readings, instances: [] };
    return ok(list);
  }
}

describe('SharedInstanceDirectory', () => {
  it('shares one reading between calls at the same time', async (t) => {
    const directory = new CountingDirectory();
    const shared = new SharedInstanceDirectory(directory, new ManualClock(), REUSE_MS);
    await Promise.all([shared.list(), shared.list(), shared.list()]);
    t.equal(directory.readings, 1);
  });

  it('reads again once the reading is old', async (t) => {
    const clock = new ManualClock();
    const directory = new CountingDirectory();
    const shared = new SharedInstanceDirectory(directory, clock, REUSE_MS);
    await shared.list();
    clock.advance(REUSE_MS - 1);
    t.match(await shared.list(), { value: { observedAtMs: 1 } });
    clock.advance(1);
    t.match(await shared.list(), { value: { observedAtMs: 2 } });
  });
});
