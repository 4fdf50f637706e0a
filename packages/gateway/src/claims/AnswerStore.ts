/**
 * The state of the keyed requests of this entry: running, or ended with the result for repeats.
 * Results are kept in memory up to a total size, and the oldest are evicted first. They are lost
 * when the entry stops.
 */
import { type CompleteAnswer } from '../TargetEnd.js';

export type KeptEnd =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer }
  /** The work did not run, and its key is being released. */
  | { readonly kind: 'not-run' }
  /** The request ended without an answer that could be kept. */
  | { readonly kind: 'no-answer' };

type Waiter = (end: KeptEnd) => void;

const ENTRY_OVERHEAD_BYTES = 200;
const MAX_WAITERS = 100;

function sizeOf(end: KeptEnd): number {
  return ENTRY_OVERHEAD_BYTES + (end.kind === 'answered' ? end.answer.body.length : 0);
}

export class AnswerStore {
  private readonly running = new Map<string, Waiter[]>();

  private readonly kept = new Map<string, KeptEnd>();

  private keptSizeBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Total size of the kept results. */
  get keptBytes(): number {
    return this.keptSizeBytes;
  }

  begin(claimId: string): void {
    this.running.set(claimId, []);
  }

  /** Removes a claim that did not get its key. */
  drop(claimId: string): void {
    this.running.delete(claimId);
  }

  end(claimId: string, end: KeptEnd): void {
    const waiters = this.running.get(claimId);
    if (!waiters) return;
    this.running.delete(claimId);
    this.keep(claimId, end);
    waiters.forEach((waiter) => waiter(end));
  }

  isRunning(claimId: string): boolean {
    return this.running.has(claimId);
  }

  /** Calls `waiter` with the end of a claim, now or later; `no-answer` if the claim is unknown. */
  whenEnded(claimId: string, waiter: Waiter): void {
    const waiters = this.running.get(claimId);
    if (waiters && waiters.length < MAX_WAITERS) waiters.push(waiter);
    else waiter(this.kept.get(claimId) ?? { kind: 'no-answer' });
  }

  private keep(claimId: string, end: KeptEnd): void {
    if (sizeOf(end) > this.maxBytes) return;
    this.kept.set(claimId, end);
    this.keptSizeBytes += sizeOf(end);
    for (const [oldId, old] of this.kept) {
      if (this.keptSizeBytes <= this.maxBytes) return;
      this.kept.delete(oldId);
      this.keptSizeBytes -= sizeOf(old);
    }
  }
}
