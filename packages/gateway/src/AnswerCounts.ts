/** Answers that were dropped, by cause, since the start of this entry. */
export interface AnswerCounts {
  /** Arrived after the gateway had given the request up. */
  late: number;
  /** Named another request. */
  crossed: number;
  /** Ended before they were whole. */
  short: number;
  /** Were larger than the service allows. */
  oversize: number;
}

export function noAnswerCounts(): AnswerCounts {
  return { late: 0, crossed: 0, short: 0, oversize: 0 };
}
