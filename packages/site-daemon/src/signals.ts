/** Signals that the daemon handles. */
export type DaemonSignal = 'SIGHUP' | 'SIGINT' | 'SIGTERM';

const SIGNALS: readonly DaemonSignal[] = ['SIGHUP', 'SIGINT', 'SIGTERM'];

const pendingSignals: DaemonSignal[] = [];
let listener: ((signal: DaemonSignal) => void) | undefined;

// Registered when this module loads, which the program imports first: a signal
// without a handler ends the process, and SIGHUP may arrive during startup.
for (const signal of SIGNALS) {
  process.on(signal, () => {
    if (listener === undefined) {
      pendingSignals.push(signal);
    } else {
      listener(signal);
    }
  });
}

/** Passes each signal to `listen`, first those received before this call. */
export function listenToSignals(listen: (signal: DaemonSignal) => void): void {
  listener = listen;
  pendingSignals.splice(0).forEach(listen);
}
