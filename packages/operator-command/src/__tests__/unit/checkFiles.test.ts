import {QUEUE, encodeConfiguration} from '@samphireramp/testing';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import t from 'tap';
import {
  CommandError,
  EXIT,
  checkConfiguration,
  checkSettings,
  readStatus,
} from '../../index';

void t.test('a configuration is read, and a wrong one is named', async t => {
  const folder = t.testdir();
  const good = join(folder, 'good.json');
  writeFileSync(good, JSON.stringify(encodeConfiguration([QUEUE], 3)));
  t.equal(checkConfiguration(good).routes.length, 1);
  const bad = join(folder, 'bad.json');
  writeFileSync(bad, '{"routes": 7}');
  t.throws(() => checkConfiguration(bad), {
    name: 'CommandError',
    message: /bad\.json: not a configuration/,
    exitStatus: EXIT.wrongInput,
  });
});

void t.test('settings that are wrong or missing are named', async t => {
  const folder = t.testdir();
  const bad = join(folder, 'bad.json');
  writeFileSync(bad, '{"node_name": 7}');
  t.throws(() => checkSettings(bad), CommandError);
  t.throws(() => checkSettings(join(folder, 'none.json')), {
    name: 'CommandError',
    message: /ENOENT/,
  });
});

void t.test('a host that is not there is told as such', async t => {
  const status = await readStatus('127.0.0.1:1');
  t.match(status, {isHolder: false, failure: /ECONNREFUSED/});
});
