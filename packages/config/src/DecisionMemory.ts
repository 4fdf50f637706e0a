/**
 * The latest decisions on patches, by patch id: a record whose id is known is a repeat. The
 * oldest decision is forgotten first; every reader of the same records forgets the same ones.
 */
import { type PatchDecision } from './ConfigRecord.js';

const MOST_DECISIONS = 5_000;

export class DecisionMemory {
  private readonly decisions = new Map<string, PatchDecision>();

  find(patchId: string): PatchDecision | undefined {
    return this.decisions.get(patchId);
  }

  add(decision: PatchDecision): void {
    this.decisions.set(decision.patchId, decision);
    if (this.decisions.size <= MOST_DECISIONS) return;
    const [oldest] = this.decisions.keys();
    if (oldest !== undefined) this.decisions.delete(oldest);
  }

  /** Forgets everything and takes over these, oldest first. */
  replaceWith(decisions: readonly PatchDecision[]): void {
    this.decisions.clear();
    decisions.forEach((decision) => this.add(decision));
  }

  /** All decisions, oldest first. */
  list(): PatchDecision[] {
    return [...this.decisions.values()];
  }
}
