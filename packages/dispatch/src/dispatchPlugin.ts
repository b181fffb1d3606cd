import {
  type PayloadOf,
  type Plugin,
  type Update,
  createValueSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import {
  HOLDING,
  HOLDING_BEGAN,
  HOLDING_ENDED,
  heldTerm,
} from '@samphireramp/holding';
import {
  MAY_COMMAND_WORKERS,
  RESOURCES_CHANGED,
  RUNS,
  RUN_CONFIRMED,
  RUN_ENDED,
  UNEXPECTED_RUN_REPORTED,
  RUN_DISCARDED,
  WORKERS,
  leasesExpiredAt,
  discardRun,
} from '@samphireramp/fleet';
import type {SiteConfiguration} from '@samphireramp/jobs';
import {
  ADVICE_REQUEST_COUNT,
  OPEN_ADVICE_REQUESTS,
  onAdviceReceived,
} from './adviceFlow';
import {LANES} from './adviceLanes';
import {ADVICE} from './adviceState';
import {CANCELLED, CONFIGURATION, JOBS, PARTITIONS_READ} from './DispatchState';
import {onRunConfirmed, onRunEnded, onRunFound, onRunVoid} from './endFlow';
import {
  beginDue,
  forgetEnded,
  onRequestsForgotten,
  takeRequests,
} from './jobFlow';
import {
  ADVICE_RECEIVED,
  CONFIGURATION_IN_FORCE,
  DISPATCH_TICK,
  FOLLOW_SITE,
  PLACE_TASKS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
  UNFOLLOW_SITE,
} from './messages';
import {PLACEMENT_SCHEDULED, schedulePlacement} from './schedulePlacement';
import {placeTasks} from './placement';
import {
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  reportWaitingSteps,
} from './waitingSteps';

/** Jobs that ended long ago are looked for this often. */
const FORGET_EVERY_MILLIS = 5000;

/** When jobs that ended were last looked for. */
const FORGOT_AT = createValueSlice('forgot-at', 0);

/** What the plug-in is given. */
export interface DispatchOptions {
  /** The name of this host. */
  readonly self: string;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Partitions of the stream of requests. */
  readonly partitions: number;
  /** How long callers may ask for a job that has ended, in milliseconds. */
  readonly keepEndedMillis: number;
}

/** Decides which task runs where and when. */
export function createDispatchPlugin(options: DispatchOptions): Plugin {
  const {self, wallClock, partitions, keepEndedMillis} = options;

  function onRequests(
    update: Update,
    payload: PayloadOf<typeof REQUESTS_READ>,
  ): void {
    if (heldTerm(update) === undefined) {
      return;
    }
    takeRequests(update, payload, wallClock);
    const read = update.write(PARTITIONS_READ);
    if (!read.has(String(payload.partition))) {
      read.set(String(payload.partition), true);
      if (read.size === partitions) {
        update.write(MAY_COMMAND_WORKERS).set(true);
      }
    }
  }

  function onTick(update: Update): void {
    if (heldTerm(update) === undefined) {
      return;
    }
    beginDue(update, wallClock());
    const forgotAt = update.write(FORGOT_AT);
    if (update.now - forgotAt.get() > FORGET_EVERY_MILLIS) {
      forgotAt.set(update.now);
      forgetEnded(update, wallClock(), keepEndedMillis);
    }
    voidLapsed(update);
    reportWaitingSteps(update);
    schedulePlacement(update);
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(JOBS),
      kernel.registerSlice(CANCELLED),
      kernel.registerSlice(CONFIGURATION),
      kernel.registerSlice(PARTITIONS_READ),
      kernel.registerSlice(ADVICE),
      kernel.registerSlice(LANES),
      kernel.registerSlice(OPEN_ADVICE_REQUESTS),
      kernel.registerSlice(ADVICE_REQUEST_COUNT),
      kernel.registerSlice(PLACEMENT_SCHEDULED),
      kernel.registerSlice(FORGOT_AT),
      kernel.registerSlice(WAITS_CHECKED_AT),
      kernel.registerSlice(WAITING_SINCE),
      kernel.registerCommand(CONFIGURATION_IN_FORCE, onConfiguration),
      kernel.registerCommand(HOLDING_BEGAN, update => {
        forgetSite(update);
        update.emit(FOLLOW_SITE, undefined);
      }),
      kernel.registerCommand(HOLDING_ENDED, update => {
        forgetSite(update);
        update.emit(UNFOLLOW_SITE, undefined);
      }),
      kernel.registerCommand(REQUESTS_READ, onRequests),
      kernel.registerCommand(REQUESTS_FORGOTTEN, onRequestsForgotten),
      kernel.registerCommand(RESOURCES_CHANGED, update =>
        schedulePlacement(update),
      ),
      kernel.registerCommand(RUN_ENDED, (update, payload) =>
        onRunEnded(update, payload, wallClock),
      ),
      kernel.registerCommand(RUN_DISCARDED, onRunVoid),
      kernel.registerCommand(RUN_CONFIRMED, onRunConfirmed),
      kernel.registerCommand(UNEXPECTED_RUN_REPORTED, onRunFound),
      kernel.registerCommand(ADVICE_RECEIVED, onAdviceReceived),
      kernel.registerCommand(PLACE_TASKS, update => {
        update.write(PLACEMENT_SCHEDULED).set(false);
        placeTasks(update, self);
      }),
      kernel.registerCommand(DISPATCH_TICK, onTick),
    );
}

/** A host never goes back to an older configuration. */
function onConfiguration(
  update: Update,
  {configuration}: {readonly configuration: SiteConfiguration},
): void {
  const inForce = update.write(CONFIGURATION);
  if (configuration.revision >= (inForce.get()?.revision ?? 0)) {
    inForce.set(configuration);
  }
}

/** Gives up runs on workers that this holder never met, once they lapsed. */
function voidLapsed(update: Update): void {
  const {beganAt} = update.read(HOLDING).get();
  if (update.now < leasesExpiredAt(undefined, beganAt)) {
    return;
  }
  for (const run of [...update.read(RUNS).values()]) {
    if (!update.read(WORKERS).has(run.incarnation)) {
      discardRun(update, run, 'lapsed-silent');
    }
  }
}

function forgetSite(update: Update): void {
  update.write(JOBS).clear();
  update.write(CANCELLED).clear();
  update.write(PARTITIONS_READ).clear();
  update.write(ADVICE).clear();
  update.write(LANES).clear();
  update.write(OPEN_ADVICE_REQUESTS).clear();
  update.write(WAITING_SINCE).clear();
}
