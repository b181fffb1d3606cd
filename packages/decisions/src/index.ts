/** All decision plug-ins of an entry host, put together. */
export {
  createDecisionPlugins,
  type DecisionOptions,
} from './createDecisionPlugins';
