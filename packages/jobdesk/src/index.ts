/** Public interface: election of the coordinator and the entries' way to it. */
export * from './Election.js';
export * from './JobDesk.js';
export * from './PeerCallClient.js';
export * from './PeerCallServer.js';
export * from './PeerNoticeClient.js';
