/**
 * How keyed requests of this entry stand: running, or ended with what a repeat is told. Answers
 * are kept in memory up to a number of bytes, oldest dropped first; nothing of it survives the
 * entry.
 */
import { type WholeAnswer } from '../TargetEnd.js';

export type KeptEnd =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  /** Refused: the work has not run and its key is being given free. */
  | { readonly kind: 'not-run' }
  /** It ended without an answer that could be kept. */
  | { readonly kind: 'no-answer' };

type Waiter = (end: KeptEnd) => void;

const ENTRY_OVERHEAD_BYTES = 200;
const MOST_WAITERS = 100;

function sizeOf(end: KeptEnd): number {
  return ENTRY_OVERHEAD_BYTES + (end.kind === 'answered' ? end.answer.body.length : 0);
}

export class AnswerStore {
  private readonly running = new Map<string, Waiter[]>();

  private readonly kept = new Map<string, KeptEnd>();

  private keptSizeBytes = 0;

  constructor(private readonly mostBytes: number) {}

  /** Bytes of the ends that are kept. */
  get keptBytes(): number {
    return this.keptSizeBytes;
  }

  begin(claimId: string): void {
    this.running.set(claimId, []);
  }

  /** Forgets a claim that did not get its key. */
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

  /** Tells the end of a claim, now or when it comes; `no-answer` if it is not known here. */
  whenEnded(claimId: string, waiter: Waiter): void {
    const waiters = this.running.get(claimId);
    if (waiters && waiters.length < MOST_WAITERS) waiters.push(waiter);
    else waiter(this.kept.get(claimId) ?? { kind: 'no-answer' });
  }

  private keep(claimId: string, end: KeptEnd): void {
    if (sizeOf(end) > this.mostBytes) return;
    this.kept.set(claimId, end);
    this.keptSizeBytes += sizeOf(end);
    for (const [oldId, old] of this.kept) {
      if (this.keptSizeBytes <= this.mostBytes) return;
      this.kept.delete(oldId);
      this.keptSizeBytes -= sizeOf(old);
    }
  }
}
