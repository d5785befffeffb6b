import { readFileSync } from 'node:fs';
import { randomBytes } from 'node:crypto';
import { createHttpClient, type HttpClient, type HttpResponse } from '@bergamotcove/transport';
import { parseServiceDocument } from '@bergamotcove/config';
import { exampleFile } from '../deployment/paths.js';
import type { RunningDeployment, RunningEntryHost } from '../deployment/startDeployment.js';
import type { DeploymentSpec } from '../deployment/types.js';
import runCtl from './runCtl.js';

/** Prints one line of progress. */
export type Print = (line: string) => void;

const ADDRESS = '127.0.0.1';
const READY_POLLS = 100;
const READY_POLL_MS = 50;

const expectTrue = (condition: boolean, message: string): void => {
  if (!condition) {
    throw new Error(message);
  }
};

const applyDocuments = async (spec: DeploymentSpec, deployment: RunningDeployment, print: Print): Promise<void> => {
  for (const service of spec.documents) {
    const file = exampleFile(spec.name, service);
    const { exitCode, output } = await runCtl(['apply', file, '--store', deployment.storeUrl]);
    print(`bergamotctl apply: ${output}`);
    expectTrue(exitCode === 0, `bergamotctl apply ${service} ended with code ${exitCode}`);
  }
};

const countServices = async (http: HttpClient, host: RunningEntryHost): Promise<number> => {
  const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'operator.status', params: {} });
  const response = await http.send({ address: ADDRESS, port: host.peersPort }, { method: 'POST', path: '/rpc', body });
  const answer = JSON.parse(response.body) as { readonly result: { readonly services: readonly unknown[] } };
  return answer.result.services.length;
};

const waitUntilInForce = async (http: HttpClient, host: RunningEntryHost, count: number): Promise<void> => {
  for (let poll = 0; poll < READY_POLLS; poll += 1) {
    if ((await countServices(http, host)) === count) {
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
  throw new Error('the service documents did not come into force');
};

interface SampleRequest {
  readonly service: string;
  readonly operation: string;
  readonly idempotencyKey?: string;
  readonly traceparent?: string;
}

const sendRequest = (http: HttpClient, host: RunningEntryHost, sample: SampleRequest): Promise<HttpResponse> =>
  http.send(
    { address: ADDRESS, port: host.callersPort },
    {
      method: 'POST',
      path: `/v1/services/${sample.service}/requests`,
      headers: {
        'content-type': 'application/json',
        ...(sample.idempotencyKey === undefined ? {} : { 'idempotency-key': sample.idempotencyKey }),
        ...(sample.traceparent === undefined ? {} : { traceparent: sample.traceparent }),
      },
      body: JSON.stringify({ organisation: 'sample', operation: sample.operation, input: { text: 'Hello' } }),
    },
  );

const readOperations = (spec: DeploymentSpec, service: string) => {
  const file = exampleFile(spec.name, service);
  return parseServiceDocument(JSON.parse(readFileSync(file, 'utf8')), { source: file }).operations;
};

const requestEachService = async (
  spec: DeploymentSpec,
  hosts: readonly RunningEntryHost[],
  http: HttpClient,
  print: Print,
): Promise<void> => {
  for (const [index, service] of spec.documents.entries()) {
    const operation = readOperations(spec, service)[0]?.name ?? '';
    const host = hosts[index % hosts.length] as RunningEntryHost;
    const response = await sendRequest(http, host, { service, operation });
    print(`${service}/${operation}: ${response.status} ${response.body}`);
    expectTrue(response.status === 200, `${service} answered with status ${response.status}`);
  }
};

const requestOnceTwice = async (
  spec: DeploymentSpec,
  hosts: readonly RunningEntryHost[],
  http: HttpClient,
  print: Print,
): Promise<void> => {
  const service = spec.documents.find((name) => readOperations(spec, name).some((operation) => !operation.idempotent));
  const operation = readOperations(spec, service ?? '').find((candidate) => !candidate.idempotent);
  const sample = {
    service: service ?? '',
    operation: operation?.name ?? '',
    idempotencyKey: randomBytes(8).toString('hex'),
  };
  const first = await sendRequest(http, hosts[0] as RunningEntryHost, sample);
  const second = await sendRequest(http, hosts[1] as RunningEntryHost, sample);
  print(`${sample.service}/${sample.operation} first: ${first.status} ${first.body}`);
  print(`${sample.service}/${sample.operation} again, other host: ${second.status} ${second.body}`);
  const outputs = [first, second].map((response) =>
    JSON.stringify((JSON.parse(response.body) as { output: unknown }).output),
  );
  expectTrue(first.status === 200 && outputs[0] === outputs[1], 'the same key did not get the first answer');
};

const showTrace = async (
  spec: DeploymentSpec,
  host: RunningEntryHost,
  http: HttpClient,
  print: Print,
): Promise<void> => {
  const traceId = randomBytes(16).toString('hex');
  const service = spec.documents[0] ?? '';
  const operation = readOperations(spec, service)[0];
  const traceparent = `00-${traceId}-${randomBytes(8).toString('hex')}-01`;
  await sendRequest(http, host, { service, operation: operation?.name ?? '', traceparent });
  const hostUrl = `http://${ADDRESS}:${host.peersPort}`;
  const { output } = await runCtl(['trace', traceId, '--host', hostUrl]);
  print(output);
  const spans = JSON.parse(
    (await runCtl(['trace', traceId, '--host', hostUrl, '--json'])).output,
  ) as readonly unknown[];
  const hops = (operation?.stages?.length ?? 0) + 1;
  expectTrue(spans.length === hops, `expected ${hops} spans, one a hop, found ${spans.length}`);
};

/**
 * Accepts the documents of a running deployment and sends sample requests.
 *
 * @param spec - shape of the deployment
 * @param deployment - the running deployment
 * @param print - receives progress lines
 * @throws Error when an answer is not as expected
 */
export default async function runQuickstart(
  spec: DeploymentSpec,
  deployment: RunningDeployment,
  print: Print,
): Promise<void> {
  const http = createHttpClient();
  try {
    await applyDocuments(spec, deployment, print);
    await Promise.all(deployment.entryHosts.map((host) => waitUntilInForce(http, host, spec.documents.length)));
    await requestEachService(spec, deployment.entryHosts, http, print);
    await requestOnceTwice(spec, deployment.entryHosts, http, print);
    await showTrace(spec, deployment.entryHosts[0] as RunningEntryHost, http, print);
  } finally {
    http.close();
  }
}
