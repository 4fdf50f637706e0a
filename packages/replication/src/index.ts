/** Public interface: replication of the configuration from the log to this entry. */
export * from './AlarmLog.js';
export * from './ConfigAlarm.js';
export * from './ConfigFollower.js';
export * from './ConfigReplica.js';
export * from './PatchSubmitter.js';
export * from './PeerPositions.js';
export * from './SnapshotPublisher.js';
export * from './SnapshotSchedule.js';
export * from './SnapshotSearch.js';
