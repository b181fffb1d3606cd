import type {ClientAccount} from '@samphireramp/jobs';
import t from 'tap';
import {
  type CallContext,
  MAX_API_KEY_BYTES,
  decideCall,
  digestApiKey,
  isConfigurationOutdated,
} from '../../index';

function buildAccount(name: string, keys: readonly string[]): ClientAccount {
  return {
    name,
    keyDigests: keys.map(key => digestApiKey(key)),
    weight: 1,
    limit: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
  };
}

const LONGEST_KEY = 'k'.repeat(MAX_API_KEY_BYTES);
const ACCOUNTS = [
  buildAccount('first', ['key-1', 'key-2']),
  buildAccount('second', [LONGEST_KEY, 'ключ']),
  buildAccount('without-keys', []),
];

/** Decides a call with these keys; `overrides` replaces the other inputs. */
function decide(
  keys: readonly string[],
  overrides: Partial<CallContext> = {},
): string | undefined {
  const decision = decideCall({
    accounts: ACCOUNTS,
    isPublic: false,
    isOutdated: false,
    keys: keys.map(key => Buffer.from(key)),
    ...overrides,
  });
  return decision.kind === 'accepted'
    ? `accepted ${decision.account}`
    : [decision.reason, decision.account].join(' ').trim();
}

void t.test('a call is accepted for the account of its only key', async t => {
  t.equal(decide(['key-1']), 'accepted first');
  t.equal(decide(['key-2']), 'accepted first');
  t.equal(decide([LONGEST_KEY]), 'accepted second');
  t.equal(decide(['ключ']), 'accepted second', 'by the bytes of the key');
});

void t.test('a call without a valid key starts nothing', async t => {
  t.equal(decide([]), 'no-key');
  t.equal(decide(['']), 'empty-key');
  t.equal(decide(['key-1', '']), 'several-keys');
  t.equal(decide(['key-1', 'key-1']), 'several-keys');
  t.equal(decide(['key']), 'unknown-key');
  t.equal(decide(['key-1 ']), 'unknown-key');
  t.equal(decide([digestApiKey('key-1')]), 'unknown-key', 'a digest is no key');
  t.equal(decide([`${LONGEST_KEY}k`]), 'unknown-key');
  t.equal(decide(['k'.repeat(1 << 20)]), 'unknown-key');
});

void t.test(
  'a public route and a site without accounts need no key',
  async t => {
    for (const keys of [[], [''], ['key-1'], ['unknown'], ['key-1', 'key-2']]) {
      t.equal(decide(keys, {isPublic: true, isOutdated: true}), 'accepted ');
      t.equal(decide(keys, {accounts: []}), 'accepted undefined');
    }
  },
);

void t.test('an outdated configuration accepts no key', async t => {
  const outdated = {isOutdated: true};
  t.equal(decide(['key-1'], outdated), 'outdated-configuration first');
  t.equal(decide(['unknown'], outdated), 'outdated-configuration');
  t.equal(decide([], outdated), 'no-key');
  const open = {failsClosed: false, revokeMillis: 500};
  t.notOk(isConfigurationOutdated(open, Infinity));
  const closed = {failsClosed: true, revokeMillis: 500};
  t.same(
    [499, 500, Infinity].map(age => isConfigurationOutdated(closed, age)),
    [false, true, true],
  );
});
