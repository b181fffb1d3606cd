import {type AddressInfo, connect} from 'node:net';
import type {IncomingMessage, ServerResponse} from 'node:http';
import t from 'tap';
import {createTurnQueue, holdRequest, startHttpServer} from '../../index';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
/** Larger than what the kernel takes of answers that are not read. */
const ANSWER = 'x'.repeat(20_000_000);

/** What the adapter hands to a handler. */
interface Bindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

// Guards against answers that pile up since the client doesn't read them: their
// requests count until they are sent.
void t.test(
  'a connection with answers that are not read makes room',
  async t => {
    const closed: string[] = [];
    const outcomes: string[] = [];
    const server = startHttpServer({
      address: '127.0.0.1:0',
      limits: {maxConnections: 10, maxHeldBytes: 10_000},
      turns: createTurnQueue({
        now: () => performance.now(),
        defer: setImmediate,
      }),
      onClosed: reason => closed.push(reason),
      fetch: (_request, environment) => {
        const {incoming, outgoing} = environment as Bindings;
        const hold = holdRequest(incoming, outgoing);
        outcomes.push(hold === undefined ? 'refused' : 'held');
        hold?.release();
        return new Response(ANSWER);
      },
    });
    await new Promise(resolve => server.once('listening', resolve));
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    const silent = connect(port, '127.0.0.1');
    silent.pause();
    silent.on('error', () => undefined);
    t.teardown(() => silent.destroy());
    silent.write(REQUEST.repeat(2));
    await waitUntil(() => outcomes.length === 2);
    const other = connect(port, '127.0.0.1');
    t.teardown(() => other.destroy());
    const answered = new Promise(resolve => other.once('data', resolve));
    other.write(REQUEST);
    await answered;
    t.strictSame(outcomes, ['held', 'held', 'held']);
    t.strictSame(closed, ['memory']);
  },
);

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => {
      setImmediate(resolve);
    });
  }
}
