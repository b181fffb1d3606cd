/** Simulated sites and other fixtures for tests, benchmarks and the demo. */
export {EventQueue, type Timeline} from './EventQueue';
export {findFreePorts} from './findFreePorts';
export {createRandom} from './seededRandom';
export {usedHeapBytes} from './usedHeapBytes';
export {waitFor} from './waitFor';
export * from './site';
export * from './soak';
