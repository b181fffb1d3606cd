import t from 'tap';
import {awaitOrder, delayOrders} from './nextLifeFixture';
import {
  ANSWER_MILLIS,
  checkCutOff,
  orderWithTicketOfNextLife,
} from './ticketOfNextLifeFixture';

/** Time from a late order until it is carried out. */
const ORDER_DELAY_MILLIS = 1500;
/** By when an order has passed that comes 15 s late, and the lease in it. */
const LATE_ORDER_CUT_MILLIS = 27_000;

void t.test(
  'a run does not run twice if a life that its ticket was issued for carries out its order late',
  async t => {
    const [site, worker] = await orderWithTicketOfNextLife();
    delayOrders(site, ORDER_DELAY_MILLIS);
    t.equal(await awaitOrder(site, 1), worker);
    await site.run(ANSWER_MILLIS);
    site.faultState = {...site.faultState, losesOrderAnswer: () => false};
    await checkCutOff(t, site, LATE_ORDER_CUT_MILLIS);
  },
);
