/** A child process of the bench, reached by IPC messages. It exits when the bench does. */
import { type ChildProcess, fork } from 'node:child_process';
import { type RoleMessage, roleMessageSchema, type RoleUsage } from './RoleMessages.js';

export class ForkedRole {
  private constructor(
    private readonly child: ChildProcess,
    readonly addresses: readonly string[],
  ) {}

  /** Starts `script`, a module in this folder, with options as JSON; resolves when it is ready. */
  static async start(script: string, options: unknown): Promise<ForkedRole> {
    const child = fork(new URL(script, import.meta.url), [JSON.stringify(options)]);
    const message = await ForkedRole.next(child);
    return new ForkedRole(child, message.kind === 'ready' ? message.addresses : []);
  }

  async usage(): Promise<RoleUsage> {
    this.child.send({ kind: 'usage' });
    const message = await ForkedRole.next(this.child);
    if (message.kind !== 'usage') throw new TypeError(`unexpected message ${message.kind}`);
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
        reject(new Error(`a child process of the bench exited: ${String(code)}`));
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
