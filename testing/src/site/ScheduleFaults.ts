/** How often a schedule injects each kind of fault, or whether it does. */
export interface ScheduleFaults {
  readonly hostKills: number;
  /** Number of rolling restarts, in which all hosts restart in turn. */
  readonly rollingRestarts: number;
  readonly hostLogDisconnects: number;
  readonly hostFreezes: number;
  /** Number of steps of a host's wall clock, which are reverted later. */
  readonly clockSteps: number;
  readonly logOutages: number;
  readonly lostAppendAnswers: boolean;
  readonly workerDisconnects: number;
  readonly workerRestarts: number;
  /** Number of workers that leave for good without notice. */
  readonly workerLosses: number;
  /** Number of workers that announce that they leave, and leave after a while. */
  readonly workerDrains: number;
  /** Number of times that all runs on a worker stop making progress. */
  readonly workerStalls: number;
  /** Number of times that all runs on a worker fail for a while. */
  readonly workerFailures: number;
  /** Number of times that the capacity of a worker shrinks for a while. */
  readonly workerShrinks: number;
  readonly lostOrderAnswers: boolean;
  /**
   * Number of times that a worker refuses half of its orders for a while. If not
   * 0, answers to orders are lost more often.
   */
  readonly workerRefusals: number;
  readonly cancels: number;
  /** Number of jobs whose tasks may crash their workers; none by default. */
  readonly crashingJobs?: number;
  /** Number of client accounts with limits that the jobs belong to; none by default. */
  readonly accounts?: number;
  /** Number of times that the limits of all accounts are lowered for a while. */
  readonly limitChanges?: number;
  /** Number of times that the journal or its reserve alone is out of reach. */
  readonly streamOutages?: number;
  /** Number of times that one partition of another stream alone is out of reach. */
  readonly partitionOutages?: number;
  /**
   * Number of times that a worker restarts under its id while calls to it are late,
   * and is cut off from all hosts soon after. If not 0, tasks take longer, and
   * none fails.
   */
  readonly cutOffRestarts?: number;
  /** Whether all queues need tickets, or none does; by default some do. */
  readonly needTickets?: boolean;
  /** Number of times that a partition of requests alone is out of reach or slow. */
  readonly requestOutages?: number;
}

/** A few faults of each kind, but those that have schedules of their own. */
export const ALL_FAULTS: ScheduleFaults = {
  hostKills: 3,
  rollingRestarts: 1,
  hostLogDisconnects: 2,
  hostFreezes: 2,
  clockSteps: 1,
  logOutages: 1,
  lostAppendAnswers: true,
  workerDisconnects: 2,
  workerRestarts: 2,
  workerLosses: 1,
  workerDrains: 1,
  workerStalls: 1,
  workerFailures: 1,
  workerShrinks: 0,
  lostOrderAnswers: true,
  workerRefusals: 0,
  cancels: 4,
};

/** Workers that refuse orders, beside a few faults of each other kind. */
export const REFUSAL_FAULTS: ScheduleFaults = {
  ...ALL_FAULTS,
  workerRefusals: 20,
};

/** The journal or its reserve alone is out of reach, and hosts end meanwhile. */
export const STREAM_FAULTS: ScheduleFaults = {
  ...ALL_FAULTS,
  hostKills: 3,
  rollingRestarts: 0,
  hostLogDisconnects: 1,
  logOutages: 0,
  streamOutages: 4,
};

/** Single partitions of any stream are out of reach, and hosts end meanwhile. */
export const PARTITION_FAULTS: ScheduleFaults = {
  ...STREAM_FAULTS,
  streamOutages: 2,
  partitionOutages: 6,
};

/** Partitions of requests are out of reach or slow, and hosts end meanwhile. */
export const REQUEST_FAULTS: ScheduleFaults = {
  ...ALL_FAULTS,
  hostKills: 6,
  rollingRestarts: 0,
  logOutages: 0,
  cancels: 8,
  accounts: 3,
  requestOutages: 6,
};

/** Client accounts with limits, and frequent cancels and changes of the holder. */
export const ACCOUNT_FAULTS: ScheduleFaults = {
  ...ALL_FAULTS,
  hostKills: 6,
  cancels: 8,
  accounts: 3,
  limitChanges: 2,
};

/** Workers restart under their ids and are cut off soon after, without tickets. */
export const RESTART_FAULTS: ScheduleFaults = {
  hostKills: 3,
  rollingRestarts: 0,
  hostLogDisconnects: 0,
  hostFreezes: 0,
  clockSteps: 0,
  logOutages: 0,
  lostAppendAnswers: true,
  workerDisconnects: 1,
  workerRestarts: 0,
  workerLosses: 0,
  workerDrains: 0,
  workerStalls: 0,
  workerFailures: 0,
  workerShrinks: 0,
  lostOrderAnswers: true,
  workerRefusals: 0,
  cancels: 2,
  cutOffRestarts: 12,
  needTickets: false,
};

/** The same with queues that need tickets, which bind an order to one life. */
export const TICKET_RESTART_FAULTS: ScheduleFaults = {
  ...RESTART_FAULTS,
  needTickets: true,
};
