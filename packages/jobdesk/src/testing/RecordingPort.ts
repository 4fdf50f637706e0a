/** Target port that records the starts and accepts every order. */
import { type OrderReceipt, type StartOrder, TargetPort } from '@acaciadock/execution';
import { err, ok, type Result } from 'neverthrow';

export class RecordingPort extends TargetPort {
  readonly starts: StartOrder[] = [];

  override hold(): Promise<Result<never, { kind: 'unreachable'; detail: string }>> {
    return Promise.resolve(err({ kind: 'unreachable', detail: 'down' }));
  }

  override start(_target: unknown, order: StartOrder): Promise<Result<OrderReceipt, never>> {
    this.starts.push(order);
    return Promise.resolve(ok({ clockMs: 3 }));
  }

  override stop(): Promise<Result<OrderReceipt, never>> {
    return Promise.resolve(ok({ clockMs: 4 }));
  }

  override pace(): Promise<Result<OrderReceipt, never>> {
    return Promise.resolve(ok({ clockMs: 5 }));
  }

  override forget(): void {
    // Keeps no connections.
  }
}
