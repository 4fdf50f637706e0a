/** Public interface: the messages between entries and the links that carry them. */
export * from './messages/AnswerMessages.js';
export * from './messages/ConfigMessages.js';
export * from './messages/CreditMessages.js';
export * from './messages/HeartbeatMessages.js';
export * from './messages/MaintenanceMessages.js';
export * from './messages/PeerMessage.js';
export * from './messages/StatusMessages.js';
export * from './messages/TicketMessages.js';
export * from './messages/WorkMessages.js';
export * from './LinkCounters.js';
export * from './MessageCodec.js';
export * from './PeerLinks.js';
export * from './PeerNetwork.js';
