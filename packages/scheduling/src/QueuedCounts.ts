/** Number of waiting tickets per service and team, to enforce the service's `maxQueuedPerTeam`. */
import { type QueueItem } from './QueueDiscipline.js';

export class QueuedCounts {
  private readonly counts = new Map<string, number>();

  of(item: QueueItem): number {
    return this.counts.get(QueuedCounts.keyOf(item)) ?? 0;
  }

  add(item: QueueItem, change: 1 | -1): void {
    const key = QueuedCounts.keyOf(item);
    const count = (this.counts.get(key) ?? 0) + change;
    if (count > 0) this.counts.set(key, count);
    else this.counts.delete(key);
  }

  private static keyOf({ serviceId, teamId }: QueueItem): string {
    return `${serviceId}\n${teamId}`;
  }
}
