import {
  type RejectionReason,
  type RevocationTerms,
  decideCall,
  isConfigurationOutdated,
} from '@samphireramp/accounts';
import {
  type QueueRoute,
  type SiteConfiguration,
  findRoute,
} from '@samphireramp/jobs';

/** What a call says about itself before its body. */
export interface IncomingCall {
  readonly method: string;
  /** Host name without a port. */
  readonly hostName: string;
  readonly path: string;
  /** Each API key that the call carries. */
  readonly keys: readonly Buffer[];
}

/** What a host knows of the configuration when it decides about a call. */
export interface ConfigurationKnowledge {
  /** The configuration in force on the host; undefined before the first. */
  readonly configuration: SiteConfiguration | undefined;
  /** Milliseconds since it was known to be the newest; Infinity if it never was. */
  readonly ageMillis: number;
  /** The newest revision that any host is known to have decided by. */
  readonly newestKnownRevision: number;
}

/** Up to which age a configuration decides about calls. */
export interface AdmissionTerms extends RevocationTerms {
  /** A change of the configuration must be in force everywhere within this time. */
  readonly applyMillis: number;
}

/** The configuration that decided about a call. */
export interface AdmissionBasis {
  /** Undefined if the host had no configuration. */
  readonly revision: number | undefined;
  readonly ageMillis: number;
}

/** Whether a host handles a call, and the configuration that decided it. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly route: QueueRoute;
      /** As in `CallDecision`. */
      readonly account: string | undefined;
      readonly maxBodyBytes: number;
      readonly basis: AdmissionBasis;
    }
  | {
      readonly kind: 'rejected';
      readonly reason: RejectionReason | 'no-configuration' | 'no-route';
      /** Whether the call would be rejected by the newest configuration, too. */
      readonly isFinal: boolean;
      /** Name of the account, if the key is known. */
      readonly account?: string;
      /** Name of the queue, if the route is known. */
      readonly queue?: string;
      readonly basis: AdmissionBasis;
    };

/** Decides by one configuration whether a host handles a call. */
export function admitCall(
  {configuration, ageMillis, newestKnownRevision}: ConfigurationKnowledge,
  {hostName, path, keys}: IncomingCall,
  terms: AdmissionTerms,
): Admission {
  const basis = {revision: configuration?.revision, ageMillis};
  if (configuration === undefined) {
    return {
      kind: 'rejected',
      reason: 'no-configuration',
      isFinal: false,
      basis,
    };
  }
  // A change that is older must be in force; this host may not have read it.
  const isFinal =
    ageMillis < terms.applyMillis &&
    configuration.revision >= newestKnownRevision;
  const route = findRoute(configuration, hostName, path);
  if (route === undefined) {
    return {kind: 'rejected', reason: 'no-route', isFinal, basis};
  }
  const decision = decideCall({
    accounts: configuration.clientAccounts,
    isPublic: route.isPublic,
    keys,
    isOutdated: isConfigurationOutdated(terms, ageMillis),
  });
  if (decision.kind === 'rejected') {
    const {reason, account} = decision;
    const queue = route.policy.name;
    return {kind: 'rejected', reason, account, queue, isFinal, basis};
  }
  const {account} = decision;
  const {maxBodyBytes} = configuration;
  return {kind: 'admitted', route, account, maxBodyBytes, basis};
}
