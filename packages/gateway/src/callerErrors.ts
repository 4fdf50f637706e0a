/** Maps errors of the HTTP parser to the problems that callers get. */
import { type Problem, refusal } from './Problem.js';

export function callerErrorProblem(error: Error): Problem {
  const code = 'code' in error ? error.code : undefined;
  if (code === 'HPE_HEADER_OVERFLOW') {
    return refusal('headers-too-large', 'the headers are larger than this entry takes');
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return refusal('request-timeout', 'the request did not arrive in time');
  }
  return refusal('malformed-request', 'the bytes are not an HTTP/1.1 request');
}
