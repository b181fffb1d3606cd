/** The callers' front end over HTTP. */
export {
  createCallerApp,
  statusOf,
  type DecideCall,
  type RequestFault,
} from './callerApp';
export {
  createCallerHttp,
  type CallerHttp,
  type CallerHttpOptions,
} from './callerHttpPlugin';
