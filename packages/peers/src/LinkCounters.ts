/** What passed over the links of this entry since it started. */
export class LinkCounters {
  sentMessages = 0;

  sentBytes = 0;

  receivedMessages = 0;

  receivedBytes = 0;

  /** Messages and batches that did not fit the contract. */
  rejectedMessages = 0;

  /** Batches whose claimed sender was not the name in the peer's certificate. */
  foreignBatches = 0;
}
