import type {ClientAccount} from '@samphireramp/jobs';
import {createHash, timingSafeEqual} from 'node:crypto';

/** Maximum bytes of an API key; a longer one is unknown without being hashed. */
export const MAX_API_KEY_BYTES = 1024;

/** Digits of a digest by which its account is looked up. */
const INDEX_DIGITS = 16;
const DIGITS_PER_BYTE = 2;

/** The digest of an account's API key. */
interface KeyEntry {
  readonly digest: Buffer;
  readonly account: string;
}

/** Accounts by the first digits of the digests of their keys. */
type KeyIndex = ReadonlyMap<string, readonly KeyEntry[]>;

/** Indices by list of accounts, so that each configuration is indexed once. */
const indices = new WeakMap<readonly ClientAccount[], KeyIndex>();

/** Returns the SHA-256 digest of an API key, in hexadecimal. */
export function digestApiKey(key: Buffer | string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Finds the name of the account that a key belongs to. The lookup depends on the
 * digest of the key alone, and whole digests are compared in constant time, so that
 * the duration tells nothing about the keys.
 */
export function findAccountOfKey(
  accounts: readonly ClientAccount[],
  key: Buffer,
): string | undefined {
  if (key.length > MAX_API_KEY_BYTES) {
    return undefined;
  }
  const digest = createHash('sha256').update(key).digest();
  return indexOf(accounts)
    .get(digest.toString('hex', 0, INDEX_DIGITS / DIGITS_PER_BYTE))
    ?.find(entry => timingSafeEqual(entry.digest, digest))?.account;
}

function indexOf(accounts: readonly ClientAccount[]): KeyIndex {
  const existing = indices.get(accounts);
  if (existing !== undefined) {
    return existing;
  }
  const index = new Map<string, KeyEntry[]>();
  for (const {name, keyDigests} of accounts) {
    for (const keyDigest of keyDigests) {
      const digits = keyDigest.slice(0, INDEX_DIGITS);
      const entry = {digest: Buffer.from(keyDigest, 'hex'), account: name};
      index.set(digits, [...(index.get(digits) ?? []), entry]);
    }
  }
  indices.set(accounts, index);
  return index;
}
