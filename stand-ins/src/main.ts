import type {ResourceVector} from '@samphireramp/model';
import yargs from 'yargs';
import {startHostList} from './startHostList';
import {startLog} from './startLog';
import {startWorker} from './startWorker';

const HOST = '127.0.0.1';
const DAY_MILLIS = 86_400_000;

/** Runs one stand-in as a process of its own. */
await yargs(process.argv.slice(2))
  .option('port', {type: 'number', demandOption: true})
  .command(
    'log',
    'the append-only log',
    command =>
      command.option('retention', {type: 'number', default: DAY_MILLIS}),
    ({port, retention}) => {
      startLog({host: HOST, port, retentionMillis: retention});
    },
  )
  .command(
    'hosts',
    'the lagging host list',
    command => command.option('lag', {type: 'number', default: 1000}),
    ({port, lag}) => {
      const expiryMillis = 10_000;
      startHostList({host: HOST, port, lagMillis: lag, expiryMillis});
    },
  )
  .command(
    'worker <name>',
    'a worker',
    command =>
      command
        .positional('name', {type: 'string', demandOption: true})
        .option('processors', {type: 'number', default: 16})
        .option('memory', {type: 'number', default: 32_768})
        .option('accelerators', {type: 'number', default: 0})
        .option('quiet', {type: 'number', default: 3000}),
    ({name, port, processors, memory, accelerators, quiet}) => {
      const capacity: ResourceVector = [
        processors * 1000,
        memory,
        accelerators,
        8,
        60,
      ];
      startWorker({
        name,
        host: HOST,
        port,
        capacity,
        quietMillis: quiet,
        usageLagMillis: 2000,
      });
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
