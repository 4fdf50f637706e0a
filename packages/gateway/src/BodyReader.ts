/**
 * Reads one body under its cap and under the entry's budget. What it took of the budget stays
 * taken until `release`, since the body is kept for retries until the request has ended.
 */
import { type IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { type BodyBudget } from './BodyBudget.js';
import { type Problem, refusal } from './Problem.js';

const RETRY_AFTER_MS = 1_000;
const EMPTY = Buffer.alloc(0);

export class BodyReader {
  private takenBytes = 0;

  private readBytes = 0;

  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly budget: BodyBudget,
    private readonly mostBytes: number,
  ) {}

  /** Reads to the end. A declared length is taken from the budget before the first byte. */
  read(
    request: IncomingMessage,
    declaredBytes: number | undefined,
  ): Promise<Result<Buffer, Problem>> {
    if (declaredBytes === 0) return Promise.resolve(ok(EMPTY));
    if (declaredBytes !== undefined && !this.take(declaredBytes)) {
      return Promise.resolve(err(BodyReader.overloaded()));
    }
    return new Promise((resolve) => {
      const finish = (result: Result<Buffer, Problem>): void => {
        request.removeAllListeners('data');
        resolve(result);
      };
      request.on('data', (chunk: Buffer) => {
        const problem = this.add(chunk);
        if (problem) finish(err(problem));
      });
      request.once('end', () => finish(ok(this.body())));
      request.once('error', () => finish(err(BodyReader.cut())));
      request.once('close', () => finish(err(BodyReader.cut())));
    });
  }

  /** Gives back what was taken of the budget. */
  release(): void {
    this.budget.release(this.takenBytes);
    this.takenBytes = 0;
  }

  private add(chunk: Buffer): Problem | undefined {
    this.readBytes += chunk.length;
    if (this.readBytes > this.mostBytes) {
      return refusal('request-too-large', `the body may have at most ${this.mostBytes} bytes`);
    }
    if (!this.take(this.readBytes - this.takenBytes)) return BodyReader.overloaded();
    this.chunks.push(chunk);
    return undefined;
  }

  private take(bytes: number): boolean {
    if (bytes <= 0) return true;
    if (!this.budget.tryTake(bytes)) return false;
    this.takenBytes += bytes;
    return true;
  }

  private body(): Buffer {
    const [only] = this.chunks;
    return this.chunks.length === 1 && only ? only : Buffer.concat(this.chunks);
  }

  private static overloaded(): Problem {
    return refusal('entry-overloaded', 'too many bytes of bodies are held', RETRY_AFTER_MS);
  }

  private static cut(): Problem {
    return refusal('malformed-request', 'the body ended before its declared end');
  }
}
