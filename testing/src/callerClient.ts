/** An answer of the callers' front end. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Sends a caller's request with a JSON body. */
export async function callEntry(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<CallerAnswer> {
  const answer = await fetch(`http://${address}${path}`, {
    method,
    headers: {'content-type': 'application/json'},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const parsed = (await answer.json()) as Record<string, unknown>;
  return {status: answer.status, body: parsed};
}

/** Reads a host's status page. */
export async function readHostStatus(
  statusAddress: string,
): Promise<Record<string, unknown>> {
  const answer = await fetch(`http://${statusAddress}/status`);
  return (await answer.json()) as Record<string, unknown>;
}
