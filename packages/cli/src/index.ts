/** Public interface: runs the command line in-process, for the demo and for tests. */
export * from './burnPage.js';
export * from './ExitCode.js';
export * from './runCommand.js';
