/**
 * Typed events. A class keeps its emitter private and exposes the subscription as `onX: Event<T>`.
 */
import { type IDisposable, toDisposable } from './Disposable.js';

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

export class EventEmitter<T> implements IDisposable {
  private listeners: ((value: T) => void)[] = [];

  /** The subscription function that the owner exposes. */
  readonly event: Event<T> = (listener) => {
    this.listeners = [...this.listeners, listener];
    return toDisposable(() => {
      this.listeners = this.listeners.filter((other) => other !== listener);
    });
  };

  /** Calls every listener that is subscribed at the time of the call, in subscription order. */
  fire(value: T): void {
    this.listeners.forEach((listener) => listener(value));
  }

  dispose(): void {
    this.listeners = [];
  }
}
