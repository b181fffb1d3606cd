import type {LogFaultState} from './ModelLog';

/** How calls between hosts and workers go just now. */
export interface SiteFaultState extends LogFaultState {
  /** Whether calls from the host reach the worker and come back. */
  canCall(host: string, worker: string): boolean;
  /** Whether the answer to an order is lost though it is obeyed. */
  losesOrderAnswer(): boolean;
  /** Milliseconds that an unanswered order is held up. */
  orderDelayMillis(): number;
}

/** Weather without any fault. */
export const NO_SITE_FAULTS: SiteFaultState = {
  reach: () => 'answers',
  losesAnswer: () => false,
  delayMillis: () => 0,
  canCall: () => true,
  losesOrderAnswer: () => false,
  orderDelayMillis: () => 0,
};
