/**
 * The most recent decisions on patches, by patch id: a record whose id is found here repeats an
 * earlier patch. The oldest decision is evicted first, and the bound counts decisions instead of
 * time, so every reader of the same records evicts the same ones.
 */
import { type PatchDecision } from './ConfigRecord.js';

const MAX_DECISIONS = 5_000;

export class RecentDecisions {
  private readonly decisions = new Map<string, PatchDecision>();

  find(patchId: string): PatchDecision | undefined {
    return this.decisions.get(patchId);
  }

  add(decision: PatchDecision): void {
    this.decisions.set(decision.patchId, decision);
    if (this.decisions.size <= MAX_DECISIONS) return;
    const [oldest] = this.decisions.keys();
    if (oldest !== undefined) this.decisions.delete(oldest);
  }

  /** Replaces all decisions with the given ones, oldest first. */
  replaceWith(decisions: readonly PatchDecision[]): void {
    this.decisions.clear();
    decisions.forEach((decision) => this.add(decision));
  }

  /** All decisions, oldest first. */
  list(): PatchDecision[] {
    return [...this.decisions.values()];
  }
}
