/* global setTimeout */
// A TCP proxy on loopback that can cut a link: it forwards nothing meanwhile, and
// resets the connections that were open during the cut when it heals.
import {connect, createServer} from 'node:net';
import {listen} from './store.mjs';

/**
 * Starts a proxy at HOST:PORT that forwards to another, each way after
 * `delayMillis`.
 */
export async function startProxy(address, target, delayMillis = 0) {
  const [host, port] = target.split(':');
  const pairs = new Set();
  let isCut = false;

  const server = createServer(client => {
    const upstream = connect({host, port: Number(port)});
    const pair = {client, upstream, isStalled: isCut};
    pairs.add(pair);
    forward(pair, client, upstream);
    forward(pair, upstream, client);
  });

  function forward(pair, from, to) {
    from.setNoDelay(true);
    from.on('error', () => undefined);
    // Timers of the same delay fire in the order in which they were set.
    const later = action =>
      delayMillis === 0 ? action() : setTimeout(action, delayMillis);
    from.on('data', chunk =>
      later(() => {
        if (!pair.isStalled) {
          to.write(chunk);
        }
      }),
    );
    from.on('close', () =>
      later(() => {
        if (!pair.isStalled) {
          to.destroy();
          pairs.delete(pair);
        }
      }),
    );
  }

  await listen(server, address);
  return {
    address,
    cut: () => {
      isCut = true;
      pairs.forEach(pair => {
        pair.isStalled = true;
      });
    },
    heal: () => {
      isCut = false;
      for (const pair of [...pairs].filter(({isStalled}) => isStalled)) {
        pair.client.resetAndDestroy();
        pair.upstream.destroy();
        pairs.delete(pair);
      }
    },
    close: () => {
      server.close();
      for (const {client, upstream} of pairs) {
        client.destroy();
        upstream.destroy();
      }
    },
  };
}
