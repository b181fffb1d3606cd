import type {LogFaultState} from './ModelLog';

/** Decides which calls to the log, and from hosts to workers, fail and how. */
export interface SiteFaultState extends LogFaultState {
  /** Whether calls from a host reach a worker, and its answers the host. */
  canCall(host: string, worker: string): boolean;
  /** Whether a worker refuses the connections of polls. */
  refusesConnections(worker: string): boolean;
  /** Whether the answer to a poll is lost, and the poll executed late. */
  losesPollAnswer(worker: string): boolean;
  /** Whether the adviser answers calls; they time out otherwise. */
  answersAdvice(): boolean;
  /** How long an answer to a poll takes from the worker to the host. */
  pollAnswerMillis(): number;
  /** Whether the answer to an order to start or stop a run is lost. */
  losesOrderAnswer(worker: string): boolean;
  /** Whether a worker refuses an order as unhealthy, without executing it. */
  refusesOrder(worker: string): boolean;
  /** Delay before an order or a poll with a lost answer is executed. */
  orderDelayMillis(): number;
  /**
   * Whether a call that a worker can't carry out while it is down is carried out by
   * its next life, once that is up; otherwise it is lost.
   */
  keepsCallsToDownWorkers(worker: string): boolean;
}

/** No call fails or has an additional delay. */
export const NO_SITE_FAULTS: SiteFaultState = {
  logAvailability: () => 'answers',
  losesAppendAnswer: () => false,
  appendDelayMillis: () => 0,
  canCall: () => true,
  refusesConnections: () => false,
  losesPollAnswer: () => false,
  answersAdvice: () => true,
  pollAnswerMillis: () => 2,
  losesOrderAnswer: () => false,
  refusesOrder: () => false,
  orderDelayMillis: () => 0,
  keepsCallsToDownWorkers: () => false,
};
