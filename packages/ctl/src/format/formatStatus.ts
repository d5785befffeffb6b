import type { HostAnswer } from '../hosts/askHosts.js';
import type { HostStatusAnswer } from '../hosts/schemas.js';
import formatTable from './formatTable.js';

const HOST_HEADING = ['HOST', 'FAILURE DOMAIN', 'REGION', 'STATE', 'IN FLIGHT', 'ENTRY HOSTS SEEN'];

const describeState = (status: HostStatusAnswer): string => {
  if (status.draining) {
    return 'draining';
  }
  return status.ready ? 'ready' : 'not ready';
};

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
  ];
};

const toServiceRow = (service: string, hosts: readonly HostStatusAnswer[]): readonly string[] => {
  const versions = hosts.map((host) => host.services.find((entry) => entry.service === service)?.version);
  const differs = new Set(versions).size > 1 ? 'versions differ' : '';
  return [service, ...versions.map((version) => (version === undefined ? '-' : String(version))), differs];
};

/**
 * Formats the status of several hosts: a table of hosts, and a table of services with the version in force on each.
 *
 * @param answers - answers of the hosts
 * @returns the tables
 */
export default function formatStatus(answers: readonly HostAnswer<HostStatusAnswer>[]): string {
  const hosts = answers.flatMap((answer) => (answer.type === 'answered' ? [answer.result] : []));
  const services = [...new Set(hosts.flatMap((host) => host.services.map((entry) => entry.service)))].sort();
  const hostTable = formatTable([HOST_HEADING, ...answers.map(toHostRow)]);
  if (services.length === 0) {
    return hostTable;
  }
  const heading = ['SERVICE', ...hosts.map((host) => host.hostId)];
  const serviceTable = formatTable([heading, ...services.map((service) => toServiceRow(service, hosts))]);
  return `${hostTable}\n\n${serviceTable}`;
}
