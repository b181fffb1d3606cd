/** Jobs, tasks and requests, and the policies over them. */
export {admit, type AdmissionQuestion, type Rejection} from './admission';
export {
  CALL_DECIDED,
  CONTINUE_PLACING,
  EXECUTE,
  EXECUTED,
  EXECUTION_SILENT,
  LOCAL_CALL,
  PLACE_WORK,
  WORK_EVENT,
  WORK_TICK,
  type LocalCall,
  type WorkEvent,
} from './messages';
export {
  arrivalOrder,
  baselinePolicies,
  classReserve,
  fairShareOrder,
  noReserve,
  standardPolicies,
  weightedDominantShare,
  type BucketOrder,
  type BucketView,
  type SchedulingPolicies,
  type SlotReserve,
} from './policy';
export {
  createSchedulingPlugin,
  type SchedulingOptions,
} from './schedulingPlugin';
export {siteView, type SiteView} from './SiteView';
export {QUEUE} from './WorkQueue';
export {
  JOBS,
  OPEN_REQUESTS,
  ORPHANS,
  SHARD_WORK,
  TASKS,
  TEAM_USAGE,
  type JobRow,
  type OpenRequest,
  type TaskRow,
} from './WorkState';
export {WORKER_HEALTH} from './workerHealth';
