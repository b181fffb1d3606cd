import type {Admission, IncomingCall} from '@samphireramp/configuration';
import {STATES_COPY} from '@samphireramp/job-states';
import type {StateReader} from '@samphireramp/kernel';
import {type LogFields, createLineBudget} from '@samphireramp/telemetry';
import type {ReporterOptions} from './ReporterOptions';

/** A longer path is cut off in the log. */
const MAX_LOGGED_CHARACTERS = 100;

/** Reports decisions on calls, with the configuration that decided them. */
export interface AdmissionReporter {
  onAdmission(call: IncomingCall, admission: Admission): void;
  /** Reports a call for a job of another account than the caller's. */
  onOtherAccount(
    jobId: string,
    account: string | undefined,
    ageMillis: number,
  ): void;
}

/** Why a call was rejected, in its log line. */
type Rejection = Extract<Admission, {kind: 'rejected'}>['reason'];

/**
 * Counts decisions on calls and logs them, rejections up to a limit: a client with a
 * wrong key may repeat its calls without pause. Keys are never logged.
 */
export function createAdmissionReporter(
  state: StateReader,
  {log, metrics, now}: ReporterOptions,
): AdmissionReporter {
  const mayLogRejection = createLineBudget(now);

  function reportRejected(
    reason: Rejection | 'other-account',
    fields: LogFields & {readonly account?: string},
  ): void {
    metrics.count('rejected_calls', {reason, account: fields.account ?? ''});
    if (mayLogRejection()) {
      const storeMillis = now() - state.read(STATES_COPY).get().readAt;
      log('call-rejected', {
        reason,
        ...fields,
        storeMillis: roundedMillis(storeMillis),
      });
    }
  }

  return {
    onAdmission: ({method, hostName, path}, admission) => {
      const {revision, ageMillis} = admission.basis;
      const configurationMillis = roundedMillis(ageMillis);
      if (admission.kind === 'rejected') {
        const {reason, account, queue, isFinal} = admission;
        const url = `${hostName}${path}`.slice(0, MAX_LOGGED_CHARACTERS);
        const call = {method, url, isFinal, revision, configurationMillis};
        reportRejected(reason, {account, queue, ...call});
        return;
      }
      const {account, route} = admission;
      metrics.count('admitted_calls');
      log('call-admitted', {
        method,
        queue: route.policy.name,
        job: path.slice(route.pathPrefix.length) || undefined,
        account,
        revision,
        configurationMillis,
      });
    },
    onOtherAccount: (job, account, ageMillis) =>
      reportRejected('other-account', {
        account,
        job,
        configurationMillis: roundedMillis(ageMillis),
      }),
  };
}

function roundedMillis(millis: number): number | undefined {
  return Number.isFinite(millis) ? Math.round(millis) : undefined;
}
