import {request} from 'undici';

/** How long a host may take to answer. */
const ANSWER_MILLIS = 3000;
const SERIES = /^samphireramp_(\S+) (\S+)$/gm;

/** How a host stands, by its metrics. */
export interface HostStatus {
  readonly address: string;
  /** Why nothing is known; undefined if the host answered. */
  readonly failure: string | undefined;
  readonly isHolder: boolean;
  /** Values by the name of their series. */
  readonly values: ReadonlyMap<string, number>;
}

/** Reads the metrics of a host. */
export async function readStatus(address: string): Promise<HostStatus> {
  try {
    const answer = await request(`http://${address}/metrics`, {
      signal: AbortSignal.timeout(ANSWER_MILLIS),
    });
    const text = await answer.body.text();
    const values = new Map(
      [...text.matchAll(SERIES)].map(([, name, value]) => [
        name,
        Number(value),
      ]),
    );
    const failure =
      answer.statusCode === 200 ? undefined : `status ${answer.statusCode}`;
    return {address, failure, isHolder: values.get('is_holder') === 1, values};
  } catch (error) {
    const failure = (error as Error).message;
    return {address, failure, isHolder: false, values: new Map()};
  }
}
