import t from 'tap';
import {type DaemonSignal, listenToSignals} from '../../signals';

void t.test(
  'a signal that arrives before a listener is delivered to it later',
  async t => {
    const seen: DaemonSignal[] = [];
    process.emit('SIGHUP');
    listenToSignals(signal => seen.push(signal));
    t.same(seen, ['SIGHUP']);
    process.emit('SIGTERM');
    t.same(seen, ['SIGHUP', 'SIGTERM']);
  },
);
