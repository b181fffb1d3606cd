/** Learns from finished runs how long the tasks of a step take. */
export {createRunTimesPlugin} from './runTimesPlugin';
