import type {LogFaultState} from './ModelLog';

/** Tells which faults hit calls to the log and between hosts and workers. */
export interface SiteFaultState extends LogFaultState {
  /** Whether calls from the host reach the worker, and answers return. */
  canCall(host: string, worker: string): boolean;
  /** Whether the answer to an order is lost; the order itself is executed. */
  losesOrderAnswer(): boolean;
  /** Delay in milliseconds before an order with a lost answer is executed. */
  orderDelayMillis(): number;
}

/** Every call is answered without delay. */
export const NO_SITE_FAULTS: SiteFaultState = {
  reach: () => 'answers',
  losesAppendAnswer: () => false,
  delayMillis: () => 0,
  canCall: () => true,
  losesOrderAnswer: () => false,
  orderDelayMillis: () => 0,
};
