import type {Resources} from '@samphireramp/jobs';

/** Whether a run's need fits beside what a worker has reserved already. */
export function fits(load: {
  reserved: Resources;
  capacity: Resources;
  need: Resources;
}): boolean {
  const {reserved, capacity, need} = load;
  return (
    reserved.cpuMillis + need.cpuMillis <= capacity.cpuMillis &&
    reserved.memoryMegabytes + need.memoryMegabytes <=
      capacity.memoryMegabytes &&
    reserved.accelerators + need.accelerators <= capacity.accelerators
  );
}

/** Whether two task keys differ only in the index of the task in its step. */
export function isSameStep(a: string, b: string): boolean {
  return a.slice(0, a.lastIndexOf('.')) === b.slice(0, b.lastIndexOf('.'));
}
