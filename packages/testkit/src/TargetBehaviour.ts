/** How the stand-in for a target treats a request. */
export type TargetBehaviour =
  /** Runs the work and sends a complete answer. */
  | 'answer'
  /** Runs the work and sends a complete answer with chunked transfer encoding. */
  | 'answer-chunked'
  /** Answers immediately with status 500: the work failed. */
  | 'fail-fast'
  /** Answers immediately with status 422: the work is rejected. */
  | 'reject'
  /** Answers with status 503 and `x-executed: no`: the work was not run. */
  | 'refuse'
  /** Closes the connection before the work begins. */
  | 'cut-before-run'
  /** Runs the work, then closes the connection without an answer. */
  | 'cut-after-run'
  /** Sends half of the answer, then closes the connection. */
  | 'cut-midway'
  /** Sends half of a chunked answer with `connection: close`, then ends the connection. */
  | 'cut-chunks'
  /** Sends an answer without a length, delimited by the end of the connection. */
  | 'no-length'
  /** Sends half of the answer and leaves the connection open. */
  | 'stall'
  /** Runs the work and answers with the id of another request. */
  | 'crossed'
  /** Refuses as `refuse` does, but with the id of another request, and runs the work. */
  | 'crossed-refusal'
  /** Sends an answer larger than any service allows. */
  | 'oversize'
  /** Runs the work and never answers. */
  | 'silent'
  /** Takes ten times as long to run the work. */
  | 'slow';
