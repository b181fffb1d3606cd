/** Learns from finished runs how long the tasks of a step take. */
export {createRunTimesPlugin} from './runTimesPlugin';
export {createRunTimeFunctions} from './runTimeFunctions';
export {expectedMillis, tailMillis} from './predictRunTime';
export {type PredictionRatios, predictionRatios} from './predictionRatios';
export {learnRunTime} from './learnRunTime';
export {workerSpeed} from './workerSpeed';
