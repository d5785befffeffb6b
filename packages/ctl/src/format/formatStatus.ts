import type { HostAnswer } from '../hosts/askHosts.js';
import type { HostStatusAnswer } from '../hosts/schemas.js';
import findLimitingStage from './findLimitingStage.js';
import formatTable from './formatTable.js';

const HOST_HEADING = ['HOST', 'FAILURE DOMAIN', 'REGION', 'STATE', 'IN FLIGHT', 'ENTRY HOSTS SEEN', 'STORE ERA'];

const describeState = (status: HostStatusAnswer): string => {
  if (status.draining) {
    return 'draining';
  }
  return status.ready ? 'ready' : 'not ready';
};

/** Formats the era of the store; it differs between hosts only briefly after a restore of the store from a copy. */
const describeEra = ({ store }: HostStatusAnswer): string => (store === undefined ? '' : String(store.era));

const toHostRow = (answer: HostAnswer<HostStatusAnswer>): readonly string[] => {
  if (answer.type === 'failed') {
    return [answer.hostUrl, '', '', `no answer: ${answer.error.message}`];
  }
  const { result } = answer;
  return [
    result.hostId,
    result.failureDomain,
    result.region,
    describeState(result),
    String(result.inFlight),
    String(result.entryHosts.length),
    describeEra(result),
  ];
};

const formatEvacuated = (hosts: readonly HostStatusAnswer[]): readonly string[] => {
  const domains = new Set(hosts.flatMap(({ evacuated = [] }) => evacuated));
  return [...domains].map((domain) => {
    const known = hosts.filter(({ evacuated = [] }) => evacuated.includes(domain)).length;
    return `failure domain ${domain} is evacuated (known to ${known} of ${hosts.length} hosts)`;
  });
};

const toServiceRow = (service: string, hosts: readonly HostStatusAnswer[]): readonly string[] => {
  const versions = hosts.map((host) => host.services.find((entry) => entry.service === service)?.version);
  const differs = new Set(versions).size > 1 ? 'versions differ' : '';
  return [service, ...versions.map((version) => (version === undefined ? '-' : String(version))), differs];
};

const FINDING_TEXT: Readonly<Record<string, string>> = {
  'store-regressed': 'the store offers an older version than the one in force; it may have lost writes',
  'hash-conflict': 'the same version is offered with other content',
};

const PERCENT = 100;

const formatPercent = (share: number): string => `${Math.round(share * PERCENT)}%`;

const formatLimitingStage = (service: string, hosts: readonly HostStatusAnswer[]): readonly string[] => {
  const limit = findLimitingStage(service, hosts);
  if (limit === undefined) {
    return [];
  }
  const { stage, pool, servers, utilisation, waiting, gainFromOneServer, next } = limit;
  const load = `${formatPercent(utilisation)} of the slots of ${servers} servers used, ${waiting} attempts waiting`;
  const nextLimit = next === undefined ? '' : `; next limit: ${next.stage} at ${formatPercent(next.utilisation)}`;
  const gain = `one more server: +${formatPercent(gainFromOneServer)} requests`;
  return [`service ${service}: limited by stage ${stage} (pool ${pool}: ${load}); ${gain}${nextLimit}`];
};

/** Formats each finding once, with the hosts that report it. */
const formatFindings = (hosts: readonly HostStatusAnswer[]): readonly string[] => {
  const reporters = new Map<string, string[]>();
  hosts.forEach(({ hostId, configFindings = [], lostDomains = [] }) => {
    const findings = configFindings.map(({ type, service, inForce, offered, source }) => {
      const text = FINDING_TEXT[type] ?? type;
      return `service ${service}: ${text} (in force ${inForce}, offered ${offered} by ${source})`;
    });
    const lost = lostDomains.map((domain) => `failure domain ${domain}: lost`);
    [...findings, ...lost].forEach((text) => reporters.set(text, [...(reporters.get(text) ?? []), hostId]));
  });
  return [...reporters].map(([text, hostIds]) => `${text}; reported by ${hostIds.join(', ')}`);
};

/**
 * Formats the status of several hosts: a table of hosts, a table of services with the version in force on each,
 * the stages that limit services, and the findings that an operator has to check.
 *
 * @param answers - answers of the hosts
 * @returns the tables
 */
export default function formatStatus(answers: readonly HostAnswer<HostStatusAnswer>[]): string {
  const hosts = answers.flatMap((answer) => (answer.type === 'answered' ? [answer.result] : []));
  const services = [...new Set(hosts.flatMap((host) => host.services.map((entry) => entry.service)))].sort();
  const hostTable = formatTable([HOST_HEADING, ...answers.map(toHostRow)]);
  const heading = ['SERVICE', ...hosts.map((host) => host.hostId)];
  const serviceTable =
    services.length === 0 ? '' : formatTable([heading, ...services.map((service) => toServiceRow(service, hosts))]);
  const limits = services.flatMap((service) => formatLimitingStage(service, hosts)).join('\n');
  const findings = [...formatFindings(hosts), ...formatEvacuated(hosts)].join('\n');
  return [hostTable, serviceTable, limits, findings].filter((part) => part !== '').join('\n\n');
}
