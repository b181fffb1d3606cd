/** Soak test of the built daemon: hosts as processes, with injected faults. */
export {type TcpProxy, type ProxyMode, startTcpProxy} from './startTcpProxy';
export {type SoakOptions, type SoakReport, runSoak} from './runSoak';
export {REGRESSION_SEEDS} from './regressionSeeds';
