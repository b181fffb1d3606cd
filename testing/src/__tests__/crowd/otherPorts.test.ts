import {readFileSync} from 'node:fs';
import t from 'tap';
import type {SiteProcessHost} from '../../index';
import {playCrowd} from './crowdFixture';

const UNFINISHED_HEADER = Buffer.from('GET /metrics HTTP/1.1\r\nhost: a');
/** What a client of HTTP/2 sends first: its preface and empty settings. */
const HTTP2_PREFACE = Buffer.concat([
  Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
  Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]),
]);

/** Address at which a host serves other hosts. */
function hostAddressOf({settingsFile}: SiteProcessHost): string {
  const settings = JSON.parse(readFileSync(settingsFile, 'utf8')) as {
    ip: string;
    internal_port_range: [number, number];
  };
  return `${settings.ip}:${settings.internal_port_range[0]}`;
}

// Guard against descriptors that are lost through the other ports of a host.
for (const [port, addressOf, piece] of [
  [
    'readiness',
    (host: SiteProcessHost) => host.readinessAddress,
    UNFINISHED_HEADER,
  ],
  [
    'metrics',
    (host: SiteProcessHost) => host.metricsAddress,
    UNFINISHED_HEADER,
  ],
  ['calls between hosts', hostAddressOf, HTTP2_PREFACE],
] as const) {
  void t.test(`more connections than descriptors: ${port}`, t =>
    playCrowd(t, {
      descriptors: 600,
      script: {clients: 800, reads: true, pieces: () => [piece]},
      addressOf,
    }),
  );
}
