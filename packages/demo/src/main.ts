/** Starts the demo fleet, says where it listens, and stops gracefully on SIGINT. */
import { Command } from 'commander';
import { request } from 'undici';
import { DemoFleet } from './DemoFleet.js';

const DEFAULT_SEED = 1;
const ONCE_REQUESTS = 200;

async function sendRequests(fleet: DemoFleet): Promise<number> {
  const sends = Array.from({ length: ONCE_REQUESTS }, async (_, index) => {
    const address = fleet.addresses[index % fleet.addresses.length]?.callerAddress ?? '';
    const answer = await request(`http://${address}/v1/services/${fleet.serviceId}/requests`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${fleet.teamKey}`,
        'x-urgency': index % 2 === 0 ? 'urgent' : 'background',
      },
      body: JSON.stringify({ joint: index }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) console.error(answer.statusCode, text);
    return answer.statusCode;
  });
  const codes = await Promise.all(sends);
  return codes.filter((code) => code === 200).length;
}

const program = new Command('demo')
  .option('--once', 'send real requests through the whole path, then stop')
  .option('--seed <number>', 'seed of all random choices', String(DEFAULT_SEED))
  .parse();
const options = program.opts<{ once?: boolean; seed: string }>();

const fleet = new DemoFleet();
await fleet.start(Number(options.seed));
const first = fleet.addresses[0];
const ready = {
  event: 'ready',
  callerUrl: `http://${first?.callerAddress}`,
  operatorUrl: `http://${first?.operatorAddress}`,
  teamKey: fleet.teamKey,
  service: fleet.serviceId,
};
console.log(JSON.stringify(ready));

if (options.once) {
  const answered = await sendRequests(fleet);
  console.log(JSON.stringify({ event: 'requests', sent: ONCE_REQUESTS, answered }));
  await fleet.stop();
  process.exit(answered === ONCE_REQUESTS ? 0 : 1);
}

const keepAlive = setInterval(() => undefined, 60_000);
process.once('SIGINT', () => {
  clearInterval(keepAlive);
  void fleet.stop().then(() => process.exit(0));
});
