import t from 'tap';
import {TICKET_POLICY, checkLateOrders} from './lateOrderFixture';

void t.test(
  'late orders with tickets start nothing twice at a worker that has a lease again',
  t => checkLateOrders(t, TICKET_POLICY, true),
);
