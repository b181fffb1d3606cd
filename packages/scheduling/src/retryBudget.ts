import {createTableSlice, type Update} from '@samphireramp/kernel';
import * as z from 'zod/mini';

/** Retries that a shard may save up. */
const LARGEST_BUDGET = 20;
/** Retries earned by each request. */
const EARNED_BY_REQUEST = 0.1;

/** Retries that a shard may still spend. */
export const retryBudgetSchema = z.object({left: z.number()});

/** Retries that a shard may still spend. */
export type RetryBudget = z.infer<typeof retryBudgetSchema>;

/** Budgets by shard. */
export const RETRY_BUDGETS = createTableSlice<RetryBudget>('retry-budgets');

/** Takes one retry out of a shard's budget; false when it is spent. */
export function takeRetry(update: Update, shardId: string): boolean {
  const left = leftOf(update, shardId);
  if (left < 1) {
    return false;
  }
  update.write(RETRY_BUDGETS).set(shardId, {left: left - 1});
  return true;
}

/** Counts a request, which earns a part of a retry. */
export function earnRetry(update: Update, shardId: string): void {
  const earned = leftOf(update, shardId) + EARNED_BY_REQUEST;
  const left = Math.min(LARGEST_BUDGET, earned);
  update.write(RETRY_BUDGETS).set(shardId, {left});
}

function leftOf(update: Update, shardId: string): number {
  return update.read(RETRY_BUDGETS).get(shardId)?.left ?? LARGEST_BUDGET;
}
