import t from 'tap';
import {type ModelSite, STREAM_FAULTS, runSiteSchedule} from '../../index';

const TOMBSTONE = Buffer.alloc(0);

/** Counts violations in schedules, on sites that `weaken` changes. */
async function countViolations(
  seeds: readonly number[],
  weaken: (site: ModelSite) => void,
): Promise<number> {
  let violations = 0;
  for (const seed of seeds) {
    const report = await runSiteSchedule(seed, STREAM_FAULTS, weaken);
    violations += report.violations.length;
  }
  return violations;
}

void t.test(
  'a reserve journal that ignores the expected end offset is detected',
  async t => {
    const seeds = [750_006, 750_019];
    t.equal(await countViolations(seeds, () => undefined), 0);
    const count = await countViolations(seeds, ({log}) => {
      const applyAppend = log.applyAppend.bind(log);
      log.applyAppend = request =>
        applyAppend(
          request.stream === 'reserve'
            ? {...request, expectedEnd: undefined}
            : request,
        );
    });
    t.ok(count > 0, `${count} violations were detected`);
  },
);

void t.test('a reserve journal that stores nothing is detected', async t => {
  const seeds = [750_020, 750_021];
  t.equal(await countViolations(seeds, () => undefined), 0);
  const count = await countViolations(seeds, ({log}) => {
    const applyAppend = log.applyAppend.bind(log);
    log.applyAppend = request =>
      applyAppend({
        ...request,
        records: request.records.map(record =>
          request.stream === 'reserve' && record.key !== 'holder'
            ? {...record, value: TOMBSTONE}
            : record,
        ),
      });
  });
  t.ok(count > 0, `${count} violations were detected`);
});
