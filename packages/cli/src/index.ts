/** Public interface: runs the command line in-process and renders the burn report as a page. */
export * from './burnPage.js';
export * from './ExitCode.js';
export * from './runCommand.js';
