/**
 * Reads one request body within its maximum size and within the body budget of the entry. The
 * bytes stay reserved until `release`, since the body is kept for retries until the request ends.
 */
import { type IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { type BodyBudget } from './BodyBudget.js';
import { type Problem, refusal } from './Problem.js';

const RETRY_AFTER_MS = 1_000;
const EMPTY = Buffer.alloc(0);

export class BodyReader {
  private reservedBytes = 0;

  private readBytes = 0;

  private chunks: Buffer[] = [];

  constructor(
    private readonly budget: BodyBudget,
    private readonly maxBytes: number,
  ) {}

  /** Reads the whole body. A declared length is reserved before the first byte is read. */
  read(
    request: IncomingMessage,
    declaredBytes: number | undefined,
  ): Promise<Result<Buffer, Problem>> {
    if (declaredBytes === 0) return Promise.resolve(ok(EMPTY));
    if (declaredBytes !== undefined && !this.reserve(declaredBytes)) {
      return Promise.resolve(err(BodyReader.overloaded()));
    }
    return new Promise((resolve) => {
      let isDone = false;
      const finish = (result: Result<Buffer, Problem>): void => {
        isDone = true;
        this.chunks = [];
        resolve(result);
      };
      request.on('data', (chunk: Buffer) => {
        const problem = isDone ? undefined : this.add(chunk);
        if (problem) finish(err(problem));
      });
      request.once('end', () => {
        if (!isDone) finish(ok(this.body()));
      });
      request.once('error', () => {
        if (!isDone) finish(err(BodyReader.truncated()));
      });
      request.once('close', () => {
        if (!isDone) finish(err(BodyReader.truncated()));
      });
    });
  }

  /** Returns the reserved bytes to the budget. */
  release(): void {
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
  }

  private add(chunk: Buffer): Problem | undefined {
    this.readBytes += chunk.length;
    if (this.readBytes > this.maxBytes) {
      return refusal('request-too-large', `the body may have at most ${this.maxBytes} bytes`);
    }
    if (!this.reserve(this.readBytes - this.reservedBytes)) return BodyReader.overloaded();
    this.chunks.push(chunk);
    return undefined;
  }

  private reserve(bytes: number): boolean {
    if (bytes <= 0) return true;
    if (!this.budget.tryReserve(bytes)) return false;
    this.reservedBytes += bytes;
    return true;
  }

  private body(): Buffer {
    const [only] = this.chunks;
    return this.chunks.length === 1 && only ? only : Buffer.concat(this.chunks);
  }

  private static overloaded(): Problem {
    return refusal('entry-overloaded', 'too many bytes of bodies are held', RETRY_AFTER_MS);
  }

  private static truncated(): Problem {
    return refusal('malformed-request', 'the body ended before its declared end');
  }
}
