/** Public interface: the dispatcher and the decisions that it takes. */
export * from './Dispatcher.js';
