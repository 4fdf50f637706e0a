/** Public interface: the election of the coordinator, and the routing of calls to it. */
export * from './Election.js';
export * from './JobCallRouter.js';
export * from './PeerCallClient.js';
export * from './PeerCallServer.js';
export * from './PeerNoticeClient.js';
