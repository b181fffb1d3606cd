import {appendAnswerSchema, logPageSchema} from '@samphireramp/model';
import {requestJson} from './requestJson';

const APPEND_MILLIS = 3000;
const READ_MILLIS = 3000;

/** Reads and appends records of the platform's log. */
export interface LogClient {
  append(stream: string, body: unknown): ReturnType<typeof appendRecord>;
  /** Reads records; waits up to `waitMillis` for the first one. */
  read(
    stream: string,
    from: number,
    waitMillis: number,
  ): ReturnType<typeof readRecords>;
}

/** Creates a client for the log at a URL. */
export function createLogClient(url: string): LogClient {
  return {
    append: (stream, body) => appendRecord(url, stream, body),
    read: (stream, from, waitMillis) =>
      readRecords(url, stream, from, waitMillis),
  };
}

function appendRecord(url: string, stream: string, body: unknown) {
  return requestJson({
    url: recordsUrl(url, stream),
    method: 'POST',
    body,
    schema: appendAnswerSchema,
    timeoutMillis: APPEND_MILLIS,
  });
}

function readRecords(
  url: string,
  stream: string,
  from: number,
  waitMillis: number,
) {
  return requestJson({
    url: `${recordsUrl(url, stream)}?from=${from}&wait=${waitMillis}`,
    method: 'GET',
    schema: logPageSchema,
    timeoutMillis: waitMillis + READ_MILLIS,
  });
}

function recordsUrl(url: string, stream: string): string {
  return `${url}/streams/${encodeURIComponent(stream)}/records`;
}
