/** Places tasks on workers, requests advice, and follows runs and jobs. */
export {JOBS, type JobRow, listActiveJobs} from './DispatchState';
export {type DispatchOptions, createDispatchPlugin} from './dispatchPlugin';
export type {
  FinishedRun,
  PlacementFunctions,
  StartQuota,
} from './placementFunctions';
export {isOver} from './endedRequests';
export {
  REQUEST_ADVICE,
  ADVICE_RECEIVED,
  type Advice,
  DISPATCH_EVENT,
  DISPATCH_TICK,
  FOLLOW_HOLDER_STREAMS,
  FORGET_REQUESTS,
  BEGIN_PASS,
  PLACE_TASKS,
  type PlacementScope,
  SCHEDULE_PLACEMENT,
  type Permit,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
  REQUESTS_READ_FAILED,
  UNFOLLOW_HOLDER_STREAMS,
} from './messages';
