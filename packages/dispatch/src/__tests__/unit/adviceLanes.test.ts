import {HOSTS_READ, createHostsPlugin} from '@samphireramp/hosts';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import t from 'tap';
import {LANES, chooseLane, closeLane, openLane} from '../../adviceLanes';

const SHORT_MILLIS = 16;
const LONG_MILLIS = 830;

/** A kernel that knows of `hosts` hosts, and a way to run code in an update. */
function buildLanes(hosts: number) {
  const kernel = createKernel({
    now: () => 1000,
    onError: error => {
      throw error;
    },
  });
  kernel.register(createHostsPlugin());
  kernel.registerSlice(LANES);
  const names = Array.from({length: hosts}, (_, index) => `host-${index}`);
  kernel.dispatch(HOSTS_READ, {
    hosts: names.map(name => ({name, address: name, zone: 'z', region: 'r'})),
  });
  const run = (code: (update: Update) => void) => {
    const command = createCommand<void>('run');
    kernel.registerCommand(command, code);
    kernel.dispatch(command, undefined);
  };
  const choose = (millis: number) => chooseLane(kernel, 'host-0', millis, 1000);
  return {run, choose};
}

void t.test('long calls leave some hosts to short ones', async t => {
  const {run, choose} = buildLanes(7);
  const used = new Set<string>();
  for (let call = 0; call < 8; call++) {
    const host = choose(LONG_MILLIS);
    if (host !== undefined) {
      used.add(host);
      run(update => openLane(update, host, LONG_MILLIS));
    }
  }
  t.same([...used].sort(), ['host-3', 'host-4', 'host-5', 'host-6']);
  t.equal(choose(LONG_MILLIS), undefined, 'the rest waits its turn');
  t.equal(choose(SHORT_MILLIS), 'host-0');
});

void t.test('a single host asks for everything itself', async t => {
  const {choose} = buildLanes(1);
  t.equal(choose(LONG_MILLIS), 'host-0');
});

void t.test('a host that failed rests, this one never does', async t => {
  const {run, choose} = buildLanes(2);
  run(update => {
    openLane(update, 'host-1', LONG_MILLIS);
    closeLane(update, 'host-1', 'failed');
    openLane(update, 'host-0', SHORT_MILLIS);
    closeLane(update, 'host-0', 'busy');
  });
  t.equal(choose(SHORT_MILLIS), 'host-0');
});

void t.test('a lane takes fewer calls than the adviser lets wait', async t => {
  const {run, choose} = buildLanes(1);
  let calls = 0;
  while (choose(1) !== undefined) {
    run(update => openLane(update, 'host-0', 1));
    calls++;
  }
  t.equal(calls, 24);
});
