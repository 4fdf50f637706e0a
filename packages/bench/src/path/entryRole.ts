/** A process that runs one entry as the daemon does. */
import { SystemClock } from '@acaciadock/core';
import { Entry, settingsSchema } from '@acaciadock/daemon';
import { z } from 'zod';
import { serveRole } from './roleProcess.js';

const POLL_MS = 10;

const optionsSchema = z.object({
  settings: settingsSchema,
  peers: z.array(z.object({ entryId: z.string(), address: z.string() })),
  seed: z.number(),
});

const { settings, peers, seed } = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const clock = new SystemClock();
const entry = new Entry(settings, clock, seed);
const { callerAddress, peerAddress } = await entry.start();
entry.setPeers(peers);
while (entry.follower.state().version === 0) await clock.sleep(POLL_MS);
serveRole([callerAddress, peerAddress]);
