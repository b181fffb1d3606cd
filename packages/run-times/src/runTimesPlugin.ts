import {type Plugin, mergeUnregister} from '@samphireramp/kernel';

/** Creates the plug-in that keeps what has been learnt of run times. */
export function createRunTimesPlugin(): Plugin {
  return () => mergeUnregister();
}
