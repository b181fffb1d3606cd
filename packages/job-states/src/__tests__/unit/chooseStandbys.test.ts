import type {Host} from '@samphireramp/hosts';
import t from 'tap';
import {chooseStandbys} from '../../chooseStandbys';

function buildHosts(zone: string, cores: readonly number[]): Host[] {
  return cores.map((each, index) => ({
    name: `${zone}-${index}`,
    address: `${zone}-${index}`,
    zone,
    region: 'region-a',
    cores: each,
    announcementReadAt: 0,
  }));
}

void t.test('each zone has the two hosts with the most cores', async t => {
  const hosts = [
    ...buildHosts('east', [0.3, 1.3, 0.3, 1.3]),
    ...buildHosts('west', [0.3]),
  ];
  t.same(chooseStandbys(hosts, []), ['east-1', 'east-3', 'west-0']);
});

void t.test('a host that is a standby already stays one', async t => {
  const hosts = buildHosts('east', [0.3, 1.3, 1.3]);
  t.same(chooseStandbys(hosts, ['east-0']), ['east-0', 'east-1']);
});

void t.test('a standby that is not live any more is replaced', async t => {
  const hosts = buildHosts('east', [0.3, 0.3]);
  t.same(chooseStandbys(hosts, ['east-7', 'east-1']), ['east-1', 'east-0']);
});
