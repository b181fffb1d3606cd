import {DEFAULT_POLICY, encodeConfiguration} from '@samphireramp/testing';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import t from 'tap';
import {EXIT_STATUS, reportConfiguration, withoutKeys} from '../../index';
import {buildSite} from './configurationFixture';

void t.test('the exit status tells whether there are findings', async t => {
  const folder = t.testdir();
  const writeFile = (name: string, content: object) => {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(content));
    return path;
  };
  const other = {...DEFAULT_POLICY, pool: 'missing', name: 'other'};
  const clean = writeFile('clean', encodeConfiguration([DEFAULT_POLICY], 3));
  const newer = writeFile('newer', encodeConfiguration([DEFAULT_POLICY], 4));
  const faulty = writeFile('faulty', encodeConfiguration([other], 3));
  const invalid = writeFile('invalid', {version: 3, routes: 'none'});
  t.equal(reportConfiguration(clean, undefined).exitStatus, EXIT_STATUS.done);
  t.equal(reportConfiguration(clean, clean).exitStatus, EXIT_STATUS.done);
  const compared = reportConfiguration(newer, clean);
  t.equal(compared.exitStatus, EXIT_STATUS.failed);
  t.match(compared.text, /^difference version: 3 before, 4 now$/m);
  const report = reportConfiguration(faulty, undefined);
  t.equal(report.exitStatus, EXIT_STATUS.failed);
  t.match(
    report.text,
    /^error routes\.0\.service: queue "other" has no workers/m,
  );
  t.match(report.value, {
    revision: 3,
    findings: [
      {severity: 'error', kind: 'unknown-pool', path: 'routes.0.service'},
    ],
  });
  const rejected = {
    name: 'CommandError',
    message: /not a configuration \(routes\.invalid_type\)/,
    exitStatus: EXIT_STATUS.invalidInput,
  };
  t.throws(() => reportConfiguration(invalid, undefined), rejected);
  t.throws(() => reportConfiguration(clean, invalid), rejected);
});

void t.test('of API keys only the number is shown', async t => {
  const shown = withoutKeys(buildSite());
  t.match(shown, {clientAccounts: [{name: 'team', keys: 1}]});
  t.notMatch(JSON.stringify(shown), /digest/i);
});
