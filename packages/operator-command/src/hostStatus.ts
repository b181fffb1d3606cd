import {request} from 'undici';

const ANSWER_TIMEOUT_MILLIS = 3000;
/**
 * A time series in the Prometheus text format: name, with labels, and value. The
 * value of a label may have spaces.
 */
const SERIES_LINE = /^samphireramp_(\w+(?:\{.*\})?) (\S+)$/gm;

/** Status of a host, from its metrics. */
export interface HostStatus {
  readonly address: string;
  /** Why the metrics are not available; undefined if the host answered. */
  readonly failure: string | undefined;
  readonly isHolder: boolean;
  /** Value of each time series, by its name without `samphireramp_`. */
  readonly values: ReadonlyMap<string, number>;
}

/** Parses the time series in the text of a metrics address, without their prefix. */
export function parseSeries(text: string): Map<string, number> {
  return new Map(
    [...text.matchAll(SERIES_LINE)].map(([, name, value]) => [
      name,
      Number(value),
    ]),
  );
}

/**
 * Reads the status of a host at its metrics address (HOST:PORT). A host that does
 * not answer is not an error; its status has the reason.
 */
export async function readHostStatus(address: string): Promise<HostStatus> {
  try {
    const response = await request(`http://${address}/metrics`, {
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLIS),
    });
    const text = await response.body.text();
    const values = parseSeries(text);
    const failure =
      response.statusCode === 200 ? undefined : `status ${response.statusCode}`;
    return {address, failure, isHolder: values.get('is_holder') === 1, values};
  } catch (error) {
    const failure = (error as Error).message;
    return {address, failure, isHolder: false, values: new Map()};
  }
}
