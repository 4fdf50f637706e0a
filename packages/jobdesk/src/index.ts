/**
 * Public interface: the election of the owner of the journal, which runs the coordinator, and the
 * routing of job calls to it.
 */
export * from './Election.js';
export * from './JobCallRouter.js';
export * from './PeerCallClient.js';
export * from './PeerCallServer.js';
export * from './PeerNoticeClient.js';
export * from './relay/GrpcRelayLink.js';
export * from './relay/RelayedTargetPort.js';
export * from './relay/RelayMessages.js';
export * from './relay/RelaySelection.js';
export * from './relay/RelaySession.js';
