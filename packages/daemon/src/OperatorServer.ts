/** HTTP server of an entry for operators. Checks access and dispatches requests to routes. */
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import { type AddressInfo } from 'node:net';
import { type SecureContextOptions } from 'node:tls';
import { Disposable, toDisposable } from '@acaciadock/core';
import { type OperatorAccess } from './OperatorAccess.js';
import {
  matchPath,
  type OperatorAnswer,
  OperatorRequest,
  type OperatorRoute,
} from './OperatorRoute.js';

export class OperatorServer extends Disposable {
  private readonly server: Server;

  constructor(
    private readonly routes: readonly OperatorRoute[],
    private readonly access: OperatorAccess,
    tls?: SecureContextOptions,
  ) {
    super();
    const listener = (request: IncomingMessage, response: ServerResponse): void => {
      this.answer(request, response).catch(() => response.destroy());
    };
    this.server = tls ? createHttpsServer(tls, listener) : createHttpServer(listener);
    this.register(
      toDisposable(() => {
        this.server.close();
        this.server.closeAllConnections();
      }),
    );
  }

  /** Listens on `host:port` and returns the address with the actual port. */
  listen(address: string): Promise<string> {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(address.slice(colon + 1)), host, () => {
        resolve(`${host}:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Replaces the certificate for new connections; existing ones are not affected. */
  replaceTls(tls: SecureContextOptions): void {
    if ('setSecureContext' in this.server) {
      (this.server as ReturnType<typeof createHttpsServer>).setSecureContext(tls);
    }
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = '', query = ''] = (request.url ?? '').split('?');
    const answer = await this.dispatch(request, path, new URLSearchParams(query));
    const { statusCode, body, contentType } = answer;
    const bytes = Buffer.from(contentType === undefined ? JSON.stringify(body) : String(body));
    response.writeHead(statusCode, {
      'content-type': contentType ?? 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  }

  private dispatch(
    request: IncomingMessage,
    path: string,
    query: URLSearchParams,
  ): OperatorAnswer | Promise<OperatorAnswer> {
    if (!this.access.allows(request.headers.authorization)) {
      return { statusCode: 401, body: { kind: 'token-not-valid' } };
    }
    let pathKnown = false;
    for (const route of this.routes) {
      const parameters = matchPath(route.path, path);
      if (!parameters) continue;
      pathKnown = true;
      if (route.method !== request.method) continue;
      return route.answer(new OperatorRequest(parameters, query, request));
    }
    if (pathKnown) return { statusCode: 405, body: { kind: 'method-not-allowed' } };
    return { statusCode: 404, body: { kind: 'unknown-path' } };
  }
}
