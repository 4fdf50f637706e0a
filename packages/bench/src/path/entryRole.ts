/** A process that runs one entry as the daemon does. */
import { SystemClock } from '@acaciadock/core';
import { Entry, settingsSchema } from '@acaciadock/daemon';
import { z } from 'zod';
import { serveRole } from './roleProcess.js';

const POLL_MS = 10;

const optionsSchema = z.object({
  settings: settingsSchema,
  /** Entries that must have found each other before the load begins. */
  entryCount: z.number(),
  seed: z.number(),
});

const { settings, entryCount, seed } = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const clock = new SystemClock();
const entry = new Entry(settings, clock, seed);
const { callerAddress, peerAddress } = await entry.start();
const isReady = (): boolean =>
  entry.follower.state().version > 0 &&
  entry.fence.reason() === undefined &&
  entry.membership.liveEntries().length === entryCount;
while (!isReady()) await clock.sleep(POLL_MS);
serveRole([callerAddress, peerAddress]);
