import t from 'tap';
import {type DaemonSignal, listenToSignals} from '../../signals';

void t.test(
  'a signal that arrives before a listener is delivered to it later',
  async t => {
    const received: DaemonSignal[] = [];
    process.emit('SIGHUP');
    listenToSignals(signal => received.push(signal));
    t.same(received, ['SIGHUP']);
    process.emit('SIGTERM');
    t.same(received, ['SIGHUP', 'SIGTERM']);
  },
);
