import t from 'tap';
import {checkSeed} from './checkSeed';

const SEED = 5;

void t.test(
  'an order is not carried out by a later life of its worker while no host holds',
  t => checkSeed(t, SEED),
);
