import {describeChanges} from '@samphireramp/configuration';
import type {Declaration} from '@samphireramp/model';
import {createLogClient, requestJson} from '@samphireramp/platform-client';
import {randomUUID} from 'node:crypto';
import * as z from 'zod/mini';
import {CommandError, EXIT} from './CommandError';
import {publish, readHistory} from './configurationLog';
import {readStatuses} from './hostStatus';
import {formatFault, readDeclaration} from './readDeclaration';

/** Where the command writes to. */
export interface CommandOutput {
  /** Writes a result: text for people, or the value as JSON. */
  result(text: string, value: unknown): void;
  /** Writes a line about progress. */
  progress(line: string): void;
}

const POLL_MILLIS = 250;

/** Checks a file without asking anyone. */
export function checkFile(file: string, output: CommandOutput): void {
  const declaration = loadFile(file);
  const {workers, workloads, teams} = declaration;
  const counts = `${workers.length} workers, ${workloads.length} workloads, ${teams.length} teams`;
  output.result(`${file} is right: ${counts}`, {file, isRight: true});
}

/** Shows what applying a file would change. */
export async function showDifference(
  file: string,
  logUrl: string,
  output: CommandOutput,
): Promise<void> {
  const declaration = loadFile(file);
  const {current} = await readHistory(createLogClient(logUrl));
  const changes = describeChanges(current?.declaration, declaration);
  const revision = current?.revision ?? 0;
  const text = [`against revision ${revision}:`, ...changes].join('\n');
  output.result(text, {revision, changes});
}

/** What applying a file is told. */
export interface ApplyOptions {
  readonly file: string;
  readonly logUrl: string;
  readonly author: string;
  /** Revision that must be in force; undefined takes what is found. */
  readonly expected: number | undefined;
  /** Status addresses of hosts to wait for. */
  readonly hosts: readonly string[];
  readonly waitMillis: number;
}

/** Applies a file as a whole and waits until it is in force. */
export async function applyFile(
  options: ApplyOptions,
  output: CommandOutput,
): Promise<void> {
  const declaration = loadFile(options.file);
  const log = createLogClient(options.logUrl);
  const expectedRevision =
    options.expected ?? (await readHistory(log)).current?.revision ?? 0;
  const verdict = await publish(log, {
    changeId: randomUUID(),
    author: options.author,
    expectedRevision,
    declaration,
  });
  if (verdict.outcome !== 'accepted') {
    const message = `revision ${verdict.inForce} is in force, not ${expectedRevision}: look at it with "diff", then apply again`;
    throw new CommandError(message, EXIT.lostRace);
  }
  const revision = verdict.toRevision;
  output.progress(`revision ${revision} accepted`);
  await waitInForce(options, revision, output);
  output.result(`revision ${revision} is in force`, {revision});
}

async function waitInForce(
  {hosts, waitMillis}: ApplyOptions,
  revision: number,
  output: CommandOutput,
): Promise<void> {
  const giveUpAt = performance.now() + waitMillis;
  let lastLine = '';
  for (;;) {
    const reports = await readStatuses(hosts);
    const missing = reports.filter(
      report => (report.status?.revision ?? 0) < revision,
    );
    if (missing.length === 0) {
      return;
    }
    const names = missing.map(item => item.status?.host ?? item.address);
    const line = `waiting for ${names.join(', ')}`;
    if (line !== lastLine) {
      output.progress(line);
      lastLine = line;
    }
    if (performance.now() > giveUpAt) {
      const message = `revision ${revision} is accepted but not yet in force on ${names.join(', ')}: see "status"`;
      throw new CommandError(message, EXIT.notInForce);
    }
    await new Promise(resolve => {
      setTimeout(resolve, POLL_MILLIS);
    });
  }
}

/** Shows who changed what, and what became of it. */
export async function showHistory(
  logUrl: string,
  output: CommandOutput,
): Promise<void> {
  const {entries} = await readHistory(createLogClient(logUrl));
  const lines = entries.map(entry => {
    const at = new Date(entry.appendedAt).toISOString();
    const from = `${entry.fromRevision} -> ${entry.toRevision}`;
    const changed = entry.changed.join('; ');
    return `${at} ${entry.author} ${from} ${entry.outcome} ${changed}`;
  });
  output.result(lines.join('\n') || 'no change yet', entries);
}

/** Shows hosts, the shards they hold, queues and workers. */
export async function showStatus(
  hosts: readonly string[],
  output: CommandOutput,
): Promise<void> {
  const reports = await readStatuses(hosts);
  const lines = reports.flatMap(({address, status, detail}) =>
    status === undefined
      ? [`${address}: no answer (${detail}); is the host up?`]
      : [
          `${status.host} zone=${status.zone} revision=${status.revision} tasks=${status.tasks}`,
          ...status.shards.map(
            shard =>
              `  shard ${shard.shardId} ${shard.phase} term=${shard.term} recovered=${shard.isRecovered} queued=${shard.queued}`,
          ),
        ],
  );
  output.result(lines.join('\n'), reports);
}

const explanationSchema = z.object({
  outcome: z.string(),
  status: z.optional(z.object({state: z.string(), waitingFor: z.string()})),
  detail: z.optional(z.string()),
});

/** Tells why a job waits, or that it does not. */
export async function explainJob(
  caller: string,
  key: string,
  output: CommandOutput,
): Promise<void> {
  const result = await requestJson({
    url: `http://${caller}/v1/jobs/${encodeURIComponent(key)}`,
    method: 'GET',
    schema: explanationSchema,
    timeoutMillis: 35_000,
  });
  if (result.isErr()) {
    const message = `no answer about ${key} (${result.error.message}); check the key and --caller`;
    throw new CommandError(message, EXIT.failed);
  }
  const {status, detail} = result.value;
  const wait = status?.waitingFor ? `waits for ${status.waitingFor}` : '';
  const text = [key, status?.state ?? result.value.outcome, wait, detail ?? ''];
  output.result(text.filter(Boolean).join(': '), result.value);
}

function loadFile(file: string): Declaration {
  const read = readDeclaration(file);
  if (read.isErr()) {
    const lines = read.error.map(formatFault).join('\n');
    throw new CommandError(lines, EXIT.wrongInput);
  }
  return read.value;
}
