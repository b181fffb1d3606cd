import {findFreePorts} from '@samphireramp/testing';
import {connect} from 'node:net';
import t from 'tap';
import {createHostLinks, startHostServer} from '../../index';

/** What a client of HTTP/2 sends first: its preface and empty settings. */
const HTTP2_PREFACE = Buffer.concat([
  Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
  Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]),
]);
const REQUEST = {
  jobId: 'job',
  occurrence: 0,
  step: 0,
  workerIds: ['worker-0'],
  timeoutMillis: 5000,
};

async function startServer(maxConnections: number) {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const closed: string[] = [];
  const server = startHostServer({
    address,
    onClosed: reason => closed.push(reason),
    limits: {maxConnections, maxHeldBytes: 0},
    advise: async () => ({kind: 'busy'}),
    onMalformed: () => undefined,
  });
  return {server, address, port, closed};
}

/** Opens a connection that does nothing further; resolves once it is served. */
function openConnection(port: number) {
  const socket = connect(port, '127.0.0.1');
  const served = new Promise(resolve => socket.once('data', resolve));
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.write(HTTP2_PREFACE);
  return {socket, served, closed};
}

// Guards against connections that stay half open at the server once a host ended them.
void t.test('a connection that a host has ended closes', async t => {
  const {server, port} = await startServer(10);
  t.teardown(() => server.close());
  const {socket, served, closed} = openConnection(port);
  await served;
  socket.end();
  await closed;
});

void t.test(
  'a call is answered although others take all connections',
  async t => {
    const {server, address, port, closed} = await startServer(2);
    t.teardown(() => server.close());
    const others = [openConnection(port), openConnection(port)];
    await Promise.all(others.map(({served}) => served));
    const links = createHostLinks();
    t.teardown(() => links.close());
    t.strictSame(await links.advise(address, REQUEST), {kind: 'busy'});
    await others[0].closed;
    t.strictSame(closed, ['connections']);
    others[1].socket.destroy();
  },
);
