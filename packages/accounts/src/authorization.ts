import {NO_ACCOUNT, type ClientAccount} from '@samphireramp/jobs';
import {findAccountOfKey} from './apiKeys';

/** Why a call is rejected. */
export type RejectionReason =
  | 'no-key'
  | 'empty-key'
  | 'several-keys'
  | 'unknown-key'
  /** The key is known, but the configuration may be out of date. */
  | 'outdated-configuration';

/** Whether a call is accepted, and for which account. */
export type CallDecision =
  | {
      readonly kind: 'accepted';
      /**
       * Name of the account, `NO_ACCOUNT` on a public route; undefined if the
       * configuration has no accounts, so that callers may access every job.
       */
      readonly account: string | undefined;
    }
  | {
      readonly kind: 'rejected';
      readonly reason: RejectionReason;
      /** Name of the account, if the key is known. */
      readonly account?: string;
    };

/** What decides about a call. */
export interface CallContext {
  /** Accounts of the configuration in force. */
  readonly accounts: readonly ClientAccount[];
  /** Whether the route of the call needs no key. */
  readonly isPublic: boolean;
  /** Each API key that the call carries. */
  readonly keys: readonly Buffer[];
  /** Whether calls that need a key are rejected, as the configuration is too old. */
  readonly isOutdated: boolean;
}

/** Decides whether a call is accepted. */
export function decideCall(context: CallContext): CallDecision {
  const {accounts, isPublic, keys, isOutdated} = context;
  if (accounts.length === 0) {
    return {kind: 'accepted', account: undefined};
  }
  if (isPublic) {
    return {kind: 'accepted', account: NO_ACCOUNT};
  }
  if (keys.length > 1) {
    return {kind: 'rejected', reason: 'several-keys'};
  }
  const [key] = keys;
  if (key === undefined) {
    return {kind: 'rejected', reason: 'no-key'};
  }
  if (key.length === 0) {
    return {kind: 'rejected', reason: 'empty-key'};
  }
  const account = findAccountOfKey(accounts, key);
  if (isOutdated) {
    return {kind: 'rejected', reason: 'outdated-configuration', account};
  }
  return account === undefined
    ? {kind: 'rejected', reason: 'unknown-key'}
    : {kind: 'accepted', account};
}

/** How long a host may decide by a configuration that it can't read again. */
export interface RevocationTerms {
  /** Whether calls that need a key are rejected after `revokeMillis`. */
  readonly failsClosed: boolean;
  readonly revokeMillis: number;
}

/**
 * Whether the configuration is too old to accept keys. Its age counts from when the
 * last successful read was sent: a key revoked later may be missing from that read.
 */
export function isConfigurationOutdated(
  {failsClosed, revokeMillis}: RevocationTerms,
  ageMillis: number,
): boolean {
  return failsClosed && ageMillis >= revokeMillis;
}
