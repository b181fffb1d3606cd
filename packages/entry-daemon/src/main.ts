import {type EntrySettings, readEntrySettings} from '@samphireramp/settings';
import {enableLogs} from '@samphireramp/telemetry';
import {readFileSync} from 'node:fs';
import {createEntryHost} from './createEntryHost';

/** Exit status for settings that can't be used. */
const WRONG_SETTINGS = 2;
/** Exit status when a second signal breaks off a graceful stop. */
const BROKEN_OFF = 1;
const DEFAULT_LOGS = 'samphireramp:*';

/** Runs an entry host until it is told to stop. */
async function main(): Promise<void> {
  const read = await readEntrySettings(process.argv.slice(2));
  if (read.isErr()) {
    process.stderr.write(`samphireramp-entry: ${read.error.message}\n`);
    process.exitCode = WRONG_SETTINGS;
    return;
  }
  if (read.value.kind === 'help') {
    process.stdout.write(`${read.value.text}\n`);
    return;
  }
  enableLogs(process.env['DEBUG'] ?? DEFAULT_LOGS);
  await run(read.value.settings);
}

async function run(settings: EntrySettings): Promise<void> {
  const host = await createEntryHost(settings, readKeys(settings));
  let isStopping = false;
  const onSignal = () => {
    if (isStopping) {
      process.exit(BROKEN_OFF);
    }
    isStopping = true;
    void host.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

function readKeys({tlsCertificate, tlsKey, tlsAuthority}: EntrySettings) {
  if (!tlsCertificate || !tlsKey || !tlsAuthority) {
    return undefined;
  }
  return {
    certificate: readFileSync(tlsCertificate),
    key: readFileSync(tlsKey),
    authority: readFileSync(tlsAuthority),
  };
}

await main();
