import t from 'tap';
import {PLAIN_POLICY, TICKET_POLICY, checkLateOrders} from './lateOrderFixture';

void t.test('expired orders with tickets start nothing', t =>
  checkLateOrders(t, TICKET_POLICY, false),
);

void t.test('expired orders without tickets start nothing', t =>
  checkLateOrders(t, PLAIN_POLICY, false),
);

void t.test(
  'late orders without tickets start nothing twice at a worker that has a lease again',
  t => checkLateOrders(t, PLAIN_POLICY, true),
);
