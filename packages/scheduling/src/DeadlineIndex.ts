/**
 * Indexes the ids of tickets or grants by deadline in buckets of `BUCKET_MS`, to find those whose
 * deadline has passed. Adding and removing take constant time.
 */
const BUCKET_MS = 250;

export class DeadlineIndex {
  private readonly buckets = new Map<number, Set<string>>();

  private nextBucket = 0;

  add(ticketId: string, deadlineAtMs: number): void {
    const bucket = Math.max(this.nextBucket, DeadlineIndex.bucketOf(deadlineAtMs));
    const known = this.buckets.get(bucket);
    if (known) known.add(ticketId);
    else this.buckets.set(bucket, new Set([ticketId]));
  }

  remove(ticketId: string, deadlineAtMs: number): void {
    const bucket = DeadlineIndex.bucketOf(deadlineAtMs);
    const known = this.buckets.get(bucket);
    if (!known) return;
    known.delete(ticketId);
    if (known.size === 0) this.buckets.delete(bucket);
  }

  /** Removes and returns the ids whose deadline lies in a bucket that has ended. */
  takePast(nowMs: number): string[] {
    const past: string[] = [];
    const current = DeadlineIndex.bucketOf(nowMs);
    this.buckets.forEach((ticketIds, bucket) => {
      if (bucket >= current) return;
      past.push(...ticketIds);
      this.buckets.delete(bucket);
    });
    this.nextBucket = current;
    return past;
  }

  private static bucketOf(instantMs: number): number {
    return Math.floor(instantMs / BUCKET_MS);
  }
}
