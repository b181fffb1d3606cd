import type {Declaration} from '@samphireramp/model';
import {type DeclarationOptions, buildDeclaration} from './declarationFixture';
import {
  NO_FAULT_RATES,
  type ScheduleOptions,
  type ScheduleReport,
} from './runSchedule';

const WORKERS_IN_ZONE = 5;
const HOSTS_IN_ZONE = 3;

/** A declaration whose accepted work survives two hosts and an outage. */
export function buildDurableDeclaration(
  options: DeclarationOptions = {},
): Declaration {
  const declaration = buildDeclaration({
    workersInZone: WORKERS_IN_ZONE,
    ...options,
  });
  const workloads = declaration.workloads.map(workload =>
    workload.kind === 'service' && workload.idempotent
      ? workload
      : {...workload, durability: 'store' as const},
  );
  return {...declaration, workloads};
}

/** A schedule of one minute of storm and most of a minute of calm. */
export function buildSchedule(
  seed: number,
  options: Partial<ScheduleOptions> = {},
): ScheduleOptions {
  return {
    seed,
    declaration: buildDurableDeclaration(),
    hostsInZone: HOSTS_IN_ZONE,
    faults: NO_FAULT_RATES,
    weather: {
      loss: 0.02,
      duplication: 0.02,
      shortestDelay: 1,
      longestDelay: 200,
    },
    largestDrift: 0.01,
    stormMillis: 60_000,
    calmMillis: 40_000,
    jobs: 20,
    requests: 60,
    longestFaultMillis: 12_000,
    ...options,
  };
}

/** What a report must not show, in one list. */
export function findingsOf(report: ScheduleReport): string[] {
  return [
    ...report.violations,
    ...report.errors.map(String),
    ...report.unendedJobs.map(key => `${key} did not end`),
  ];
}
