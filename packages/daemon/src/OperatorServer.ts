/** The operators' HTTP interface of an entry: the configuration, patches and status. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { Disposable, toDisposable } from '@acaciadock/core';
import { type ConfigView, patchRecordSchema } from '@acaciadock/config';
import { type PatchSubmitter, type SubmitOutcome } from '@acaciadock/replication';

const MAX_PATCH_BYTES = 16 * 1024 * 1024;

function statusOf(outcome: SubmitOutcome): number {
  if (outcome.kind === 'not-appended') return 503;
  if (outcome.kind === 'unknown') return 504;
  return outcome.verdict.kind === 'refused' ? 409 : 200;
}

async function readText(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_PATCH_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export class OperatorServer extends Disposable {
  private readonly server: Server;

  constructor(
    private readonly config: ConfigView,
    private readonly submitter: PatchSubmitter,
  ) {
    super();
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.register(
      toDisposable(() => {
        this.server.close();
        this.server.closeAllConnections();
      }),
    );
  }

  /** Listens on `host:port` and returns the address in use. */
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

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    if (request.method === 'GET' && path === '/v1/config') {
      OperatorServer.send(response, 200, this.config.state());
      return;
    }
    if (request.method === 'POST' && path === '/v1/config/patches') {
      await this.patch(request, response);
      return;
    }
    OperatorServer.send(response, 404, { kind: 'unknown-path' });
  }

  private async patch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    if (text === undefined) {
      OperatorServer.send(response, 413, { kind: 'patch-too-large' });
      return;
    }
    const record = patchRecordSchema.safeParse(parseJson(text));
    if (!record.success) {
      OperatorServer.send(response, 400, { kind: 'patch-malformed', detail: record.error.message });
      return;
    }
    const outcome = await this.submitter.submit(record.data);
    OperatorServer.send(response, statusOf(outcome), outcome);
  }

  private static send(response: ServerResponse, statusCode: number, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(statusCode, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  }
}
