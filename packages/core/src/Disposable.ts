/**
 * Ownership of resources: a class that extends `Disposable` registers its timers, subscriptions and
 * sockets, and one call of `dispose` releases them in reverse order of registration.
 */

/** A resource that can be released. Releasing it again has no effect. */
export interface IDisposable {
  dispose(): void;
}

/** Wraps a release function so that it runs at most once. */
export function toDisposable(release: () => void): IDisposable {
  let released = false;
  return {
    dispose: () => {
      if (released) return;
      released = true;
      release();
    },
  };
}

export abstract class Disposable implements IDisposable {
  private readonly owned: IDisposable[] = [];

  private disposed = false;

  /** Whether `dispose` has been called. */
  get isDisposed(): boolean {
    return this.disposed;
  }

  dispose(): void {
    if (this.disposed) return;
    this.disposed = true;
    this.owned
      .splice(0)
      .reverse()
      .forEach((item) => item.dispose());
  }

  /**
   * Registers `item` for release together with this object and returns it. If this object is
   * already disposed, the item is released at once.
   */
  protected register<T extends IDisposable>(item: T): T {
    if (this.disposed) item.dispose();
    else this.owned.push(item);
    return item;
  }
}
