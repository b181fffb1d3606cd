import t from 'tap';
import {type CloseReason, ConnectionTable} from '../../index';

/** Creates a table of connections by name, and the list of those it closes. */
function createTable(maxConnections: number, maxHeldBytes: number) {
  const closed: Array<[string, CloseReason]> = [];
  const table = new ConnectionTable<string>({
    maxConnections,
    maxHeldBytes,
    close: (connection, reason) => closed.push([connection, reason]),
  });
  return {table, closed};
}

void t.test(
  'a new connection replaces the one that waited longest',
  async t => {
    const {table, closed} = createTable(3, 0);
    ['a', 'b', 'c'].forEach(name => table.add(name));
    table.requestRead('a');
    table.requestAnswered('a');
    t.ok(table.add('d'));
    t.strictSame(
      closed,
      [['b', 'connections']],
      'a was answered after b began',
    );
    t.equal(table.size, 3);
  },
);

void t.test('a connection whose request has no answer yet stays', async t => {
  const {table, closed} = createTable(2, 0);
  table.add('a');
  table.requestRead('a');
  table.add('b');
  table.add('c');
  t.strictSame(closed, [['b', 'connections']]);
  table.requestRead('c');
  t.notOk(table.add('d'), 'there is no room');
  t.equal(table.size, 2);
});

void t.test('the oldest unfinished request makes room in memory', async t => {
  const {table, closed} = createTable(10, 100);
  ['a', 'b', 'c', 'd'].forEach(name => table.add(name));
  t.ok(table.hold('b', 60));
  t.ok(table.hold('c', 40));
  t.ok(table.hold('d', 50), 'a holds nothing, so that its end would not help');
  t.strictSame(closed, [['b', 'memory']]);
  t.equal(table.totalHeldBytes, 90);
});

void t.test('requests that were read whole keep their memory', async t => {
  const {table, closed} = createTable(10, 100);
  table.add('a');
  table.hold('a', 100);
  table.requestRead('a');
  table.add('b');
  t.notOk(table.hold('b', 1));
  t.strictSame(closed, []);
  table.release('a', 30);
  t.ok(table.hold('b', 30));
  t.equal(table.totalHeldBytes, 100);
});

void t.test(
  'a request larger than all memory closes no connection',
  async t => {
    const {table, closed} = createTable(10, 100);
    table.add('a');
    table.add('b');
    table.hold('a', 10);
    table.hold('b', 10);
    t.notOk(table.hold('b', 91));
    t.strictSame(closed, []);
    t.equal(table.totalHeldBytes, 20);
  },
);

void t.test('a connection that ends gives back what it holds', async t => {
  const {table} = createTable(10, 100);
  table.add('a');
  table.hold('a', 100);
  table.remove('a');
  table.release('a', 100);
  table.requestAnswered('a');
  t.equal(table.size, 0);
  t.equal(table.totalHeldBytes, 0);
});
