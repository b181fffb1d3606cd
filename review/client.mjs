// A client of the system, as PROTOCOL.md describes it under "Jobs".
import {request} from 'node:http';
import {sleep} from './store.mjs';

export const QUEUE_HOST = 'jobs.example';
const TIMEOUT_MILLIS = 3000;
const MAX_ATTEMPTS = 5;
const RETRY_MILLIS = 500;

/** Calls an address; status 0 if there is no answer. */
export function call(address, method, path, content) {
  const [host, port] = address.split(':');
  const body = content === undefined ? undefined : JSON.stringify(content);
  return new Promise(resolve => {
    const outgoing = request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        timeout: TIMEOUT_MILLIS,
        headers: {
          host: QUEUE_HOST,
          'request-deadline': String(TIMEOUT_MILLIS),
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
      },
      response => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', chunk => {
          text += chunk;
        });
        response.on('end', () => resolve({status: response.statusCode, text}));
        response.on('error', () => resolve({status: 0, text: ''}));
      },
    );
    outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
    outgoing.on('error', () => resolve({status: 0, text: ''}));
    outgoing.end(body);
  });
}

/** Submits a job at one host after the other until one accepts it. */
export async function submit(hosts, queue, id, job, record) {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const host = hosts[attempt % hosts.length];
    record('sent', {host: host.name, method: 'POST', queue, id});
    const path = `/${queue}/${id}`;
    const {status} = await call(host.address, 'POST', path, job);
    record('answered', {host: host.name, method: 'POST', queue, id, status});
    if (status >= 200 && status < 300) {
      return true;
    }
    await sleep(RETRY_MILLIS);
  }
  return false;
}

/** Reads the state of a job, or the status of another answer. */
export async function readState(host, queue, id) {
  const {status, text} = await call(host.address, 'GET', `/${queue}/${id}`);
  return status === 200 ? JSON.parse(text).state : String(status);
}

/** The configuration of one pool and some queues, as the operator writes it. */
export function configurationOf(queues) {
  return {
    version: 1,
    routes: queues.map(({name, priority = 0, maxAttempts = 3}) => ({
      name,
      host: QUEUE_HOST,
      path_prefix: `/${name}/`,
      kind: 'unsafe',
      timeout_ms: 3000,
      target_latency_ms: 500,
      priority,
      service: 'pool',
      max_attempts: maxAttempts,
      stretch: 2,
    })),
    services: [{name: 'pool', rejects_overload: false, standby: false}],
    limits: {max_body_bytes: 262_144},
  };
}
