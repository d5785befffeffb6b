import { randomBytes } from 'node:crypto';
import { createHttpClient, type HttpClient } from '@bergamotcove/transport';
import { exampleFile } from '../deployment/paths.js';
import type { RunningDeployment, RunningEntryHost } from '../deployment/startDeployment.js';
import type { DeploymentSpec } from '../deployment/types.js';
import readSamples, { type Sample } from './readSamples.js';
import runCtl from './runCtl.js';
import sendSample, { type SampleHeaders } from './sendSample.js';

/** Prints one line of progress. */
export type Print = (line: string) => void;

/** Context that the steps of the quickstart share. */
interface Session {
  readonly spec: DeploymentSpec;
  readonly deployment: RunningDeployment;
  readonly samples: readonly Sample[];
  readonly http: HttpClient;
  readonly print: Print;
}

const ADDRESS = '127.0.0.1';
const READY_POLLS = 100;
const READY_POLL_MS = 50;
const ID_BYTES = 8;
const TRACE_ID_BYTES = 16;

const expectTrue = (condition: boolean, message: string): void => {
  if (!condition) {
    throw new Error(message);
  }
};

const createRandomId = (): string => randomBytes(ID_BYTES).toString('hex');

const hostUrl = (host: RunningEntryHost): string => `http://${ADDRESS}:${host.peersPort}`;

/** Adds an idempotency key to non-idempotent operations, which require one. */
const createKeyHeaders = (sample: Sample): SampleHeaders =>
  sample.operation.idempotent ? {} : { 'idempotency-key': createRandomId() };

const formatSampleName = (sample: Sample): string => `${sample.service}/${sample.operation.name}`;

const pickHost = ({ deployment }: Session, index: number): RunningEntryHost =>
  deployment.entryHosts[index % deployment.entryHosts.length] as RunningEntryHost;

const applyDocuments = async ({ spec, deployment, print }: Session): Promise<void> => {
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

const waitUntilInForce = async ({ spec, http }: Session, host: RunningEntryHost): Promise<void> => {
  for (let poll = 0; poll < READY_POLLS; poll += 1) {
    if ((await countServices(http, host)) === spec.documents.length) {
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
  throw new Error('the service documents did not come into force');
};

const showStatus = async ({ deployment, print }: Session): Promise<void> => {
  const hosts = deployment.entryHosts.flatMap((host) => ['--host', hostUrl(host)]);
  const { exitCode, output } = await runCtl(['status', ...hosts]);
  print(`\nbergamotctl status:\n${output}\n`);
  expectTrue(exitCode === 0, `bergamotctl status ended with code ${exitCode}`);
};

const sendEachSample = async (session: Session): Promise<void> => {
  for (const [index, sample] of session.samples.entries()) {
    const startedAtMs = performance.now();
    const response = await sendSample(session.http, pickHost(session, index), sample, createKeyHeaders(sample));
    const durationMs = Math.round(performance.now() - startedAtMs);
    session.print(`${formatSampleName(sample)}: ${response.status} after ${durationMs} ms ${response.body}`);
    expectTrue(response.status === 200, `${formatSampleName(sample)} answered with status ${response.status}`);
  }
};

const sendSameKeyTwice = async (session: Session): Promise<void> => {
  const { samples, http, print } = session;
  const sample = samples.find(({ operation }) => !operation.idempotent);
  if (sample === undefined) {
    throw new Error('no sample request of a non-idempotent operation');
  }
  const headers = { 'idempotency-key': createRandomId() };
  const first = await sendSample(http, pickHost(session, 0), sample, headers);
  const second = await sendSample(http, pickHost(session, 1), sample, headers);
  print(`\nsame Idempotency-Key on two hosts, the call runs once:`);
  print(`${formatSampleName(sample)} first: ${first.status} ${first.body}`);
  print(`${formatSampleName(sample)} again: ${second.status} ${second.body}`);
  const [firstOutput, secondOutput] = [first, second].map((response) =>
    JSON.stringify((JSON.parse(response.body) as { output: unknown }).output),
  );
  expectTrue(first.status === 200 && firstOutput === secondOutput, 'the same key did not get the first answer');
};

const showTrace = async (session: Session): Promise<void> => {
  const { deployment, samples, http, print } = session;
  const sample = samples[0] as Sample;
  const traceId = randomBytes(TRACE_ID_BYTES).toString('hex');
  const headers = { ...createKeyHeaders(sample), traceparent: `00-${traceId}-${createRandomId()}-01` };
  await sendSample(http, pickHost(session, 0), sample, headers);
  const hosts = deployment.entryHosts.flatMap((host) => ['--host', hostUrl(host)]);
  const { output } = await runCtl(['trace', traceId, ...hosts]);
  print(`\nbergamotctl trace:\n${output}\n`);
  const spans = JSON.parse((await runCtl(['trace', traceId, ...hosts, '--json'])).output) as readonly {
    readonly name: string;
  }[];
  const found = [...new Set(spans.map((span) => span.name))].sort().join(', ');
  const expected = [`request ${formatSampleName(sample)}`, ...sample.stages.map((stage) => `stage ${stage}`)]
    .sort()
    .join(', ');
  expectTrue(found === expected, `expected spans for ${expected}, found ${found}`);
};

/**
 * Applies the service documents of a running deployment, then sends the sample requests and shows status and a trace.
 *
 * @param spec - shape of the deployment
 * @param deployment - the running deployment
 * @param print - receives progress lines
 * @throws Error when a command fails, the documents are not in force in time, or a response is not as expected
 */
export default async function runQuickstart(
  spec: DeploymentSpec,
  deployment: RunningDeployment,
  print: Print,
): Promise<void> {
  const session: Session = { spec, deployment, print, http: createHttpClient(), samples: readSamples(spec.name) };
  try {
    await applyDocuments(session);
    await Promise.all(deployment.entryHosts.map((host) => waitUntilInForce(session, host)));
    await showStatus(session);
    await sendEachSample(session);
    await sendSameKeyTwice(session);
    await showTrace(session);
  } finally {
    session.http.close();
  }
}
