import t from 'tap';
import {readEntrySettings} from '../..';

const RIGHT = [
  '--name=tema-e0',
  '--zone=tema',
  '--caller-address=127.0.0.1:1',
  '--peer-address=127.0.0.1:2',
  '--status-address=127.0.0.1:3',
  '--log-url=http://127.0.0.1:4',
  '--host-list-url=http://127.0.0.1:5',
];

async function messageFor(...more: string[]): Promise<string> {
  const read = await readEntrySettings([...RIGHT, ...more]);
  return read.isErr() ? read.error.message : '';
}

void t.test('right settings are read, with their defaults', async t => {
  const read = await readEntrySettings([...RIGHT, '--call-millis=5']);
  t.ok(read.isOk());
  t.match(read.isOk() && read.value, {
    settings: {name: 'tema-e0', callMillis: 5, graceMillis: 20_000},
  });
});

void t.test('a wrong setting is named in one line', async t => {
  t.match(await messageFor('--call-millis=soon'), /--call-millis .*"soon"/);
  t.match(await messageFor('--nmae=x'), /Unknown argument: nmae/);
  t.match(await messageFor('--tls-key=k'), /go together/);
  const read = await readEntrySettings(RIGHT.slice(1));
  t.match(read.isErr() && read.error.message, /--name .* is missing/);
});
