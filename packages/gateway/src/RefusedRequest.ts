/** Thrown inside the gateway to end a request that was not accepted. */
import { type Problem } from './Problem.js';

export class RefusedRequest extends Error {
  constructor(readonly problem: Problem) {
    super(problem.detail);
  }
}
