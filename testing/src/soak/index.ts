/** A soak of the real programs, with faults from outside them. */
export {type Link, type LinkMode, startLink} from './startLink';
export {type SoakOptions, type SoakReport, runSoak} from './runSoak';
export {REGRESSION_SEEDS} from './regressionSeeds';
