import {HOSTS_READ, createHostsPlugin} from '@samphireramp/hosts';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import t from 'tap';
import {
  CALLS_BY_HOST,
  addCall,
  chooseHost,
  hostsNearestFirst,
  removeCall,
} from '../../adviserCalls';

const SHORT_MILLIS = 16;
const LONG_MILLIS = 830;

/**
 * Builds a kernel with live hosts, the last of which may be in another region;
 * `host-0` is the one that chooses.
 */
function buildHosts(hostCount: number, farHostCount = 0) {
  const kernel = createKernel({
    now: () => 1000,
    onError: error => {
      throw error;
    },
  });
  kernel.register(createHostsPlugin());
  kernel.registerSlice(CALLS_BY_HOST);
  const firstFar = hostCount - farHostCount;
  kernel.dispatch(HOSTS_READ, {
    hosts: Array.from({length: hostCount}, (_, index) => {
      const isFar = index >= firstFar;
      const name = `${isFar ? 'far' : 'host'}-${index}`;
      return {name, address: name, zone: 'z', region: isFar ? 'far' : 'r'};
    }),
  });
  const run = (code: (update: Update) => void) => {
    const command = createCommand<void>('run');
    kernel.registerCommand(command, code);
    kernel.dispatch(command, undefined);
  };
  const choose = (millis: number) => {
    const hosts = hostsNearestFirst(kernel, 'host-0', 1000);
    return chooseHost(kernel, hosts, millis, 1000);
  };
  return {run, choose};
}

void t.test('long calls leave some hosts free for short ones', async t => {
  const {run, choose} = buildHosts(7);
  const used = new Set<string>();
  for (let call = 0; call < 8; call++) {
    const host = choose(LONG_MILLIS);
    if (host !== undefined) {
      used.add(host);
      run(update => addCall(update, host, LONG_MILLIS));
    }
  }
  t.same([...used].sort(), ['host-3', 'host-4', 'host-5', 'host-6']);
  t.equal(
    choose(LONG_MILLIS),
    undefined,
    'further long calls are not made yet',
  );
  t.equal(choose(SHORT_MILLIS), 'host-0');
});

void t.test('long calls are not made behind other long ones', async t => {
  const {run, choose} = buildHosts(7);
  for (let call = 0; call < 4; call++) {
    const host = choose(LONG_MILLIS) ?? '';
    run(update => addCall(update, host, LONG_MILLIS));
  }
  t.equal(choose(LONG_MILLIS), undefined);
});

void t.test('long calls use most near hosts of a large site', async t => {
  const farHosts = 20;
  const {run, choose} = buildHosts(42, farHosts);
  for (let call = 0; call < 15; call++) {
    const host = choose(LONG_MILLIS) ?? '';
    t.match(host, /^host-/, 'a host of the same region');
    run(update => addCall(update, host, LONG_MILLIS));
  }
});

void t.test('a single host takes long calls too', async t => {
  const {choose} = buildHosts(1);
  t.equal(choose(LONG_MILLIS), 'host-0');
});

void t.test(
  'other hosts are skipped after a failure, this host is not',
  async t => {
    const {run, choose} = buildHosts(2);
    run(update => {
      addCall(update, 'host-1', LONG_MILLIS);
      removeCall(update, 'host-1', 'failed');
      addCall(update, 'host-0', SHORT_MILLIS);
      removeCall(update, 'host-0', 'busy');
    });
    t.equal(choose(SHORT_MILLIS), 'host-0');
  },
);

void t.test('a host has fewer open calls than the adviser allows', async t => {
  const {run, choose} = buildHosts(1);
  let calls = 0;
  while (choose(1) !== undefined) {
    run(update => addCall(update, 'host-0', 1));
    calls++;
  }
  t.equal(calls, 24);
});
