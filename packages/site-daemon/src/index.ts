/** The program of a host on the operators' platform, for those who embed it. */
export {
  type SiteHost,
  type SiteHostOptions,
  createSiteHost,
} from './createSiteHost';
export {createAdvicePlugin} from './advicePlugin';
export {createLogPlugin} from './logPlugin';
export {createWorkersPlugin} from './workersPlugin';
