/** Traffic counters of this entry's peer links since it started. */
export class LinkCounters {
  sentMessages = 0;

  sentBytes = 0;

  receivedMessages = 0;

  receivedBytes = 0;

  /** Messages and batches that were dropped because they did not match the schema. */
  rejectedMessages = 0;

  /** Batches dropped because their sender id differed from the name in the peer's certificate. */
  spoofedBatches = 0;
}
