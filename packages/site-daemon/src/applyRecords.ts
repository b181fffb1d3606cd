/**
 * Applies records in one update. If that is rolled back, each is applied in an
 * update of its own, so that one that can't be applied costs no other. `apply`
 * is told whether it has all of them, and returns whether it was committed.
 */
export function applyRecords<Entry>(
  records: readonly Entry[],
  apply: (part: readonly Entry[], hasAll: boolean) => boolean,
): void {
  if (!apply(records, true)) {
    records.forEach(record => apply([record], false));
  }
}
