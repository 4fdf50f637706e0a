/** Whether the configuration in force at this entry is known to be older than the fleet's. */
export abstract class StalenessSource {
  /** True if a live peer has a newer version that this entry should have had by now. */
  abstract isStale(): boolean;
}
