/** Child process that runs one entry as the daemon does. */
import { SystemClock } from '@acaciadock/core';
import { Entry, settingsSchema } from '@acaciadock/daemon';
import { z } from 'zod';
import { serveRole } from './roleProcess.js';

const POLL_MS = 10;

const optionsSchema = z.object({
  settings: settingsSchema,
  /** Number of live entries that this one must see before it reports that it is ready. */
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
