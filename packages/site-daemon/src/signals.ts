/** Signals that the daemon acts on. */
export type DaemonSignal = 'SIGHUP' | 'SIGINT' | 'SIGTERM';

const SIGNALS: readonly DaemonSignal[] = ['SIGHUP', 'SIGINT', 'SIGTERM'];

const early: DaemonSignal[] = [];
let listener: ((signal: DaemonSignal) => void) | undefined;

// Taken when this module loads, before all others: a signal that nobody takes
// ends the process, and a reload may be asked for while it still starts.
for (const signal of SIGNALS) {
  process.on(signal, () => {
    if (listener === undefined) {
      early.push(signal);
    } else {
      listener(signal);
    }
  });
}

/** Passes on signals from now on, and those that came before. */
export function listenToSignals(listen: (signal: DaemonSignal) => void): void {
  listener = listen;
  early.splice(0).forEach(listen);
}
