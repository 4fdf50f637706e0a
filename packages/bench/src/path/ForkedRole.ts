/** A process that the bench started, reached by messages. It ends with the bench. */
import { type ChildProcess, fork } from 'node:child_process';
import { type RoleMessage, roleMessageSchema, type RoleUsage } from './RoleMessages.js';

export class ForkedRole {
  private constructor(
    private readonly child: ChildProcess,
    readonly addresses: readonly string[],
  ) {}

  /** Starts `script` (beside this file) with its options as JSON. */
  static async start(script: string, options: unknown): Promise<ForkedRole> {
    const child = fork(new URL(script, import.meta.url), [JSON.stringify(options)]);
    const message = await ForkedRole.next(child);
    return new ForkedRole(child, message.kind === 'ready' ? message.addresses : []);
  }

  async usage(): Promise<RoleUsage> {
    this.child.send({ kind: 'usage' });
    const message = await ForkedRole.next(this.child);
    if (message.kind !== 'usage') throw new TypeError(`unexpected ${message.kind}`);
    return message;
  }

  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.child.once('exit', () => resolve());
      this.child.disconnect();
    });
  }

  private static next(child: ChildProcess): Promise<RoleMessage> {
    return new Promise((resolve, reject) => {
      const fail = (code: unknown): void =>
        reject(new Error(`a process of the bench ended: ${String(code)}`));
      child.once('error', fail);
      child.once('exit', fail);
      child.once('message', (message) => {
        child.off('error', fail);
        child.off('exit', fail);
        resolve(roleMessageSchema.parse(message));
      });
    });
  }
}
