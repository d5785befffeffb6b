/** One host of the claims benchmark. Each host runs in its own worker thread so that hosts share no event loop. */
import { parentPort, workerData } from 'node:worker_threads';
import { createSystemClock, type Clock } from '@bergamotcove/clock';
import { createClaimRegistry, type ClaimRegistry, type ClaimRequest, type EntryHostView } from '@bergamotcove/entry';
import { createStoreClient } from '@bergamotcove/backends';
import { createHttpClient, createHttpServer, createPeerClient, createPeerServer } from '@bergamotcove/transport';
import createRandomSource from '../load/_lib/createRandomSource.js';

/** Worker data of one host. */
export interface BenchHostData {
  readonly index: number;
  readonly storePort: number;
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Latencies that one host measured, and the number of claims that were not granted. */
export interface BenchHostResult {
  readonly claimMs: readonly number[];
  readonly recordMs: readonly number[];
  readonly refused: number;
}

const ADDRESS = '127.0.0.1';
const MS_PER_SECOND = 1_000;
const DEADLINE_MS = 3_000;
/** Duration of the simulated call. */
const CALL_MS = 5;

interface Tally {
  readonly claimMs: number[];
  readonly recordMs: number[];
  refused: number;
}

const wait = (clock: Clock, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });

/** Runs one non-idempotent request: claims its key, waits for the simulated call and records the outcome. */
const runRequest = async (clock: Clock, claims: ClaimRegistry, key: string, tally: Tally): Promise<void> => {
  const startedAtMs = clock.monotonicMs();
  const request: ClaimRequest = {
    organisation: 'acme',
    service: 'ledger',
    idempotencyKey: key,
    bodyHash: 'body',
    requestId: key,
    deadlineAtMs: startedAtMs + DEADLINE_MS,
    maxDurationMs: DEADLINE_MS,
    serversCheckKeys: false,
  };
  const decision = await claims.claim(request);
  if (decision.type !== 'granted') {
    Object.assign(tally, { refused: tally.refused + 1 });
    return;
  }
  tally.claimMs.push(clock.monotonicMs() - startedAtMs);
  await wait(clock, CALL_MS);
  const answeredAtMs = clock.monotonicMs();
  await claims.record(request, { type: 'answered', output: { receipt: key }, stages: [] });
  tally.recordMs.push(clock.monotonicMs() - answeredAtMs);
};

/** Starts requests at exponentially distributed intervals (open loop): slow answers do not delay later arrivals. */
const sendOpenLoop = async (clock: Clock, claims: ClaimRegistry, data: BenchHostData): Promise<BenchHostResult> => {
  const random = createRandomSource(data.seed, data.index);
  const tally: Tally = { claimMs: [], recordMs: [], refused: 0 };
  const nextGapMs = (): number => (-Math.log(1 - random()) * MS_PER_SECOND) / data.ratePerSecond;
  const startedAtMs = clock.monotonicMs();
  const running: Promise<void>[] = [];
  let dueMs = nextGapMs();
  while (dueMs < data.seconds * MS_PER_SECOND) {
    await wait(clock, startedAtMs + dueMs - clock.monotonicMs());
    running.push(runRequest(clock, claims, `${data.index}/${data.seed}/${running.length}`, tally));
    dueMs += nextGapMs();
  }
  await Promise.all(running);
  return tally;
};

const startHost = async (data: BenchHostData): Promise<void> => {
  const clock = createSystemClock();
  const hostId = `entry-${data.index}`;
  const http = createHttpClient();
  const store = createStoreClient({ urls: [`http://${ADDRESS}:${data.storePort}`], timeoutMs: MS_PER_SECOND });
  const peerServer = createPeerServer();
  const listen = { address: ADDRESS, port: 0, onError: () => undefined };
  const server = await createHttpServer((exchange) => peerServer.handle(exchange), listen);
  let views: readonly EntryHostView[] = [];
  const directory = { liveHosts: () => views };
  const claims = createClaimRegistry({ clock, store, peers: createPeerClient(http), peerServer, directory, hostId });
  const view: EntryHostView = { hostId, address: ADDRESS, peersPort: server.port, failureDomain: 'a', region: 'r' };
  parentPort?.on('message', (message: { readonly views?: readonly EntryHostView[] }) => {
    if (message.views === undefined) {
      process.exit(0);
    }
    views = message.views;
    sendOpenLoop(clock, claims, data).then((result) => parentPort?.postMessage({ result }));
  });
  parentPort?.postMessage({ view });
};

startHost(workerData as BenchHostData).catch((cause: unknown) => {
  throw cause;
});
