/** What the stand-in of a target does with a request that it was sent. */
export type TargetBehaviour =
  /** Runs it and answers in full. */
  | 'answer'
  /** Runs it and answers in full, in chunks. */
  | 'answer-chunked'
  /** Answers at once that the work failed. */
  | 'fail-fast'
  /** Answers at once that it rejects the work. */
  | 'reject'
  /** Says that it did not run the work. */
  | 'refuse'
  /** Cuts the connection before the work begins. */
  | 'cut-before-run'
  /** Runs the work, then cuts the connection without an answer. */
  | 'cut-after-run'
  /** Sends half of the answer, then cuts. */
  | 'cut-midway'
  /** Sends half of an answer in chunks on a connection that is not kept, then ends it. */
  | 'cut-chunks'
  /** Sends an answer that ends with its connection, without a length. */
  | 'no-length'
  /** Sends half of the answer and then nothing. */
  | 'stall'
  /** Answers with another request's id. */
  | 'crossed'
  /** Says of another request that it was not run. */
  | 'crossed-refusal'
  /** Sends more than any service allows. */
  | 'oversize'
  /** Runs and never answers. */
  | 'silent'
  /** Runs at a tenth of the speed. */
  | 'slow';
