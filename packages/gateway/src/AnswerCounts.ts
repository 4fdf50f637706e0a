/** Answers of targets that were dropped, by cause, since the start of this entry. */
export interface AnswerCounts {
  /** Arrived after the call had already ended. */
  late: number;
  /** Did not echo the id of the request. */
  crossed: number;
  /** Ended before they were complete. */
  incomplete: number;
  /** Were larger than the service allows. */
  oversize: number;
}

export function createAnswerCounts(): AnswerCounts {
  return { late: 0, crossed: 0, incomplete: 0, oversize: 0 };
}
