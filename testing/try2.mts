import {buildDeclarationValue} from './src/index';
import {declarationSchema} from '@samphireramp/model';
const v: any = buildDeclarationValue({workersInZone: 5});
for (const w of v.workloads)
  if (w.name !== 'slot-check') w.durability = 'store';
const decl = declarationSchema.parse(v);
import {runSchedule, buildDeclaration} from './src/index';
import {
  WORK_EVENT,
  EXECUTED,
  EXECUTION_SILENT,
  EXECUTE,
  JOBS,
  TASKS,
  CALL_DECIDED,
} from '@samphireramp/scheduling';
import {SHARD_HELD, SHARD_LOST, SHARDS} from '@samphireramp/ownership';
import {SHARD_RECOVERED} from '@samphireramp/journal';
import {CALL_ARRIVED} from '@samphireramp/routing';
const seed = Number(process.argv[2]);
const key = process.argv[3];
const faults = {
  hostKills: 4,
  hostPauses: 6,
  hostCuts: 2,
  workerRestarts: 2,
  workerCuts: 6,
  logOutages: 2,
  cancellations: 2,
};
const r = runSchedule({
  seed,
  declaration: decl,
  hostsInZone: 3,
  faults,
  weather: {loss: 0.02, duplication: 0.02, shortestDelay: 1, longestDelay: 200},
  largestDrift: 0.01,
  stormMillis: 60000,
  calmMillis: 40000,
  jobs: 20,
  requests: 60,
  longestFaultMillis: 12000,
  prepare: site => {
    const anySite = site as any;
    const orig = anySite.connect.bind(site);
    const hook = (kernel: any, host: any) => {
      const say = (...a: any[]) =>
        console.log(Math.round(site.queue.now), host.self.incarnation, ...a);
      const has = (x: any) => JSON.stringify(x).includes(key);
      kernel.registerEffect(
        WORK_EVENT,
        (e: any) => has(e) && say(JSON.stringify(e)),
      );
      kernel.registerEffect(
        EXECUTE,
        (e: any) =>
          has(e) && say('EXECUTE', e.callId, e.worker, e.request.attempt),
      );
      for (const c of [EXECUTED, EXECUTION_SILENT, CALL_DECIDED, CALL_ARRIVED])
        kernel.registerCommand(c as any, (_: any, p: any) => {
          if (has(p)) say((c as any).name, JSON.stringify(p).slice(0, 200));
        });
      for (const c of [SHARD_HELD, SHARD_LOST, SHARD_RECOVERED])
        kernel.registerCommand(c as any, (_: any, p: any) =>
          say(
            (c as any).name,
            JSON.stringify({...p, changes: p.changes?.length}),
          ),
        );
    };
    site.hosts.forEach(h => hook(h.kernel, h));
    anySite.connect = (k: any, h: any) => {
      orig(k, h);
      queueMicrotask(() => hook(k, h));
      setTimeout(() => {}, 0);
      site.queue.after(0, () => hook(k, h));
    };
  },
});
console.log(r.violations, r.unendedJobs, r.errors.slice(0, 2));
for (const h of r.site.hosts) {
  const j = h.kernel.read(JOBS).get(key);
  if (j)
    console.log(
      h.self.name,
      JSON.stringify(j),
      JSON.stringify(
        [...h.kernel.read(TASKS).values()].filter((t: any) => t.jobKey === key),
      ),
      JSON.stringify([...h.kernel.read(SHARDS).values()]),
    );
}
import {WORKER_LINKS} from '@samphireramp/ownership';
for (const h of r.site.hosts)
  for (const t of h.kernel.read(TASKS).values())
    if ((t as any).jobKey === key) {
      const l = h.kernel.read(WORKER_LINKS).get((t as any).worker);
      console.log(h.self.name, JSON.stringify(t), JSON.stringify(l));
      const w = r.site.workers.find(
        w => w.declaration.name === (t as any).worker,
      )!;
      console.log(
        JSON.stringify(
          [...(w.model as any).attempts.values()].filter((a: any) =>
            a.entry.taskId.startsWith(key),
          ),
        ),
        (w.model as any).revision,
        w.clock,
      );
    }
for (const rec of r.site.log.read('tema/0', 0).records) {
  const b = rec.body as any;
  const hit = b.changes.filter((c: any) =>
    JSON.stringify(c).includes('"' + key),
  );
  if (hit.length || b.snapshot)
    console.log(
      'LOG',
      Math.round(rec.appendedAt),
      b.writer,
      b.sequence,
      b.snapshot,
      b.changes.length,
      JSON.stringify(hit).slice(0, 300),
    );
}
import {REPLICAS} from '@samphireramp/journal';
for (const h of r.site.hosts)
  console.log(
    h.self.incarnation,
    h.isAlive,
    JSON.stringify(
      h.kernel
        .read(REPLICAS)
        .changesOf('tema/0')
        .filter((c: any) => JSON.stringify(c).includes('"' + key)),
    ).slice(0, 600),
    [...h.kernel.read(JOBS).keys()].length,
    JSON.stringify(
      [...h.kernel.read(SHARDS).values()].map((s: any) => s.phase),
    ),
  );
