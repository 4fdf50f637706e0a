/** HTTP health check: an instance is healthy if `GET /health` returns 200 before the timeout. */
import { type InstanceId, toDisposable, type IDisposable } from '@acaciadock/core';
import { type InstanceProbe } from '@acaciadock/maintenance';
import { Agent } from 'undici';

const CHECK_TIMEOUT_MS = 1_000;
const HEALTHY_STATUS = 200;

export class HttpInstanceProbe implements InstanceProbe, IDisposable {
  private readonly agent = new Agent({
    connections: 1,
    connect: { timeout: CHECK_TIMEOUT_MS },
    keepAliveTimeout: 1,
  });

  private readonly closing = toDisposable(() => {
    void this.agent.destroy();
  });

  async isHealthy(_: InstanceId, address: string): Promise<boolean> {
    try {
      const answer = await this.agent.request({
        origin: `http://${address}`,
        path: '/health',
        method: 'GET',
        headersTimeout: CHECK_TIMEOUT_MS,
        bodyTimeout: CHECK_TIMEOUT_MS,
      });
      await answer.body.dump();
      return answer.statusCode === HEALTHY_STATUS;
    } catch {
      return false;
    }
  }

  dispose(): void {
    this.closing.dispose();
  }
}
