/**
 * Caches the platform's instance list for all tasks of an entry. Concurrent calls share one
 * request, and a result (also a failure) is reused until it reaches its maximum age.
 */
import { type Clock } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import {
  type DirectoryFailure,
  InstanceDirectory,
  type InstanceList,
} from './InstanceDirectory.js';

type ListResult = Promise<Result<InstanceList, DirectoryFailure>>;

export class SharedInstanceDirectory extends InstanceDirectory {
  private lastResult: ListResult | undefined;

  private lastRequestedAtMs = 0;

  constructor(
    private readonly directory: InstanceDirectory,
    private readonly clock: Clock,
    /** How long a result is reused, counted from the start of its request, in milliseconds. */
    private readonly maxAgeMs: number,
  ) {
    super();
  }

  override list(): ListResult {
    const nowMs = this.clock.monotonicMs();
    if (this.lastResult && nowMs - this.lastRequestedAtMs < this.maxAgeMs) return this.lastResult;
    this.lastRequestedAtMs = nowMs;
    this.lastResult = this.directory.list();
    return this.lastResult;
  }
}
