import {readFileSync} from 'node:fs';
import t from 'tap';
import {formatFault, parseDeclaration, readDeclaration} from '../..';

const EXAMPLES = ['examples/cheesemongers.yaml', 'examples/route-desk.yaml'];

/** Lines for the faults of an example after one replacement in its text. */
function faultsAfter(wanted: string, replacement: string): string[] {
  const text = readFileSync(EXAMPLES[0], 'utf8');
  const read = parseDeclaration('f', text.replace(wanted, replacement));
  return read.isErr() ? read.error.map(formatFault) : [];
}

void t.test('the examples are right', async t => {
  for (const file of EXAMPLES) {
    const read = readDeclaration(file);
    t.ok(read.isOk(), file);
    t.equal(read.isOk() && read.value.workers.length, 30);
  }
});

void t.test('a fault is named with its place and value', async t => {
  t.match(faultsAfter('kind: service', 'kind: sevice'), [
    /^f:\d+:\d+: workloads\[0\]\.kind is "sevice"; expected one of service/,
  ]);
  t.match(faultsAfter('policy: till', 'policy: tills'), [
    /^f:\d+:\d+: workloads\[0\]\.policy is "tills"; expected a declared policy/,
  ]);
  t.match(faultsAfter('version: 1', 'version: 2'), [/^f:3:\d+: version is 2/]);
  t.match(faultsAfter('site: ', 'sites: '), [/unknown key "sites"|site/]);
  t.match(faultsAfter('zones:', 'zones: ['), [/^f:\d+:\d+: file /]);
});

void t.test('work that must not repeat may not be kept in memory', async t => {
  t.match(faultsAfter('durability: two-hosts', 'durability: memory'), [
    /workloads\[1\]\.durability is "memory"; expected two-hosts or store/,
  ]);
});

void t.test('a file that is not there is one fault', async t => {
  const read = readDeclaration('examples/none.yaml');
  t.ok(read.isErr() && read.error.length === 1);
});
