import {DEFAULT_POLICY, encodeConfiguration} from '@samphireramp/testing';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import t from 'tap';
import {
  CommandError,
  EXIT_STATUS,
  readConfiguration,
  readHostSettings,
  readHostStatus,
} from '../../index';

void t.test(
  'a configuration is read; the error for an invalid one names the file',
  async t => {
    const folder = t.testdir();
    const good = join(folder, 'good.json');
    writeFileSync(
      good,
      JSON.stringify(encodeConfiguration([DEFAULT_POLICY], 3)),
    );
    t.equal(readConfiguration(good).routes.length, 1);
    const bad = join(folder, 'bad.json');
    writeFileSync(bad, '{"routes": 7}');
    t.throws(() => readConfiguration(bad), {
      name: 'CommandError',
      message: /bad\.json: not a configuration \(version\.invalid_type\)/,
      exitStatus: EXIT_STATUS.invalidInput,
    });
  },
);

void t.test('invalid and missing settings files are errors', async t => {
  const folder = t.testdir();
  const bad = join(folder, 'bad.json');
  writeFileSync(bad, '{"node_name": 7}');
  t.throws(() => readHostSettings(bad), CommandError);
  t.throws(() => readHostSettings(join(folder, 'none.json')), {
    name: 'CommandError',
    message: /ENOENT/,
  });
});

void t.test('the status of an unreachable host has the reason', async t => {
  const status = await readHostStatus('127.0.0.1:1');
  t.match(status, {isHolder: false, failure: /ECONNREFUSED/});
});
