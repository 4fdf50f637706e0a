/** Injects faults into the answers of a stand-in after the call has taken effect. */
import { type ServerResponse } from 'node:http';
import { type Clock } from '@acaciadock/core';
import { HttpStandIn } from './HttpStandIn.js';

export class AnswerFaults {
  /** Delay before each answer, in milliseconds. */
  slowMs = 0;

  /** Number of following answers that are lost: the connection closes without one. */
  lose = 0;

  /** Number of following answers that are cut off in the middle. */
  cut = 0;

  /** Number of following answers that are not valid JSON. */
  garble = 0;

  /** Number of following answers that are valid JSON of an unexpected shape. */
  misshape = 0;

  constructor(private readonly clock: Clock) {}

  /** Sends an answer, after applying at most one of the pending faults and the delay. */
  async send(response: ServerResponse, statusCode: number, body: unknown): Promise<void> {
    if (this.slowMs > 0) await this.clock.sleep(this.slowMs);
    if (this.lose > 0) {
      this.lose -= 1;
      response.destroy();
    } else if (this.cut > 0) {
      this.cut -= 1;
      AnswerFaults.sendTruncated(response, statusCode, body);
    } else if (this.garble > 0) {
      this.garble -= 1;
      response.writeHead(statusCode, { 'content-type': 'application/json' }).end('{"records":');
    } else if (this.misshape > 0) {
      this.misshape -= 1;
      HttpStandIn.send(response, statusCode, { something: 'else' });
    } else {
      HttpStandIn.send(response, statusCode, body);
    }
  }

  private static sendTruncated(response: ServerResponse, statusCode: number, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(statusCode, { 'content-length': bytes.length });
    response.write(bytes.subarray(0, bytes.length / 2), () => response.destroy());
  }
}
