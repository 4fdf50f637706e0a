/** Public interface: the command line as a function, for the demo and for tests. */
export * from './burnPage.js';
export * from './ExitCode.js';
export * from './runCommand.js';
