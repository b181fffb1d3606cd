/** The host program, and the plug-ins that connect a kernel to its platform. */
export {
  type SiteHost,
  type SiteHostOptions,
  createSiteHost,
} from './createSiteHost';
export {createAdvicePlugin} from './advicePlugin';
export {createStreamLogPlugin} from './streamLogPlugin';
export {createWorkersPlugin} from './workersPlugin';
export {
  type PlacementPluginOptions,
  createPlacementPlugins,
} from './placementPlugins';
