/**
 * One reading of the platform's list for all tasks of an entry: calls at the same time share one
 * request, and a list that was read a moment ago is given again.
 */
import { type Clock } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import {
  type DirectoryFailure,
  InstanceDirectory,
  type InstanceList,
} from './InstanceDirectory.js';

type Reading = Promise<Result<InstanceList, DirectoryFailure>>;

export class SharedInstanceDirectory extends InstanceDirectory {
  private last: Reading | undefined;

  private lastAtMs = 0;

  constructor(
    private readonly directory: InstanceDirectory,
    private readonly clock: Clock,
    /** How long a reading is given again, in milliseconds. */
    private readonly reuseMs: number,
  ) {
    super();
  }

  override list(): Reading {
    const nowMs = this.clock.monotonicMs();
    if (this.last && nowMs - this.lastAtMs < this.reuseMs) return this.last;
    this.lastAtMs = nowMs;
    this.last = this.directory.list();
    return this.last;
  }
}
