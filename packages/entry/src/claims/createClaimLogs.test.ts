import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { shardOfKey } from '@bergamotcove/decide';
import type { ClaimOp } from '@bergamotcove/protocol';
import createMemoryStore, { type CallBehaviour, type MemoryStore } from './_lib/createMemoryStore.test.js';
import type { LogView } from './createClaimLogs.js';
import startLogHosts, { type LogHosts, type PeerBehaviour } from './_lib/startLogHosts.test.js';

const HOSTS = 3;
const STEPS = 3_000;
const LIMIT_MS = 3_000;
const ANSWERS_EXPIRE_MS = 700_000;
/** Keys of one shard, so that its log is compacted several times. */
const KEYS = Array.from({ length: 1_000 }, (_, index) => `k${index}`)
  .filter((key) => shardOfKey(key) === 0)
  .slice(0, 6);
const LIMITS = { compactEntries: 2, segmentBytes: 0, maxSegments: 3 };

interface Plan {
  readonly host: number;
  readonly key: string;
  /** Step of the run at which the request starts. */
  readonly atStep: number;
}

/** Requests against the logs of three hosts. */
class Run {
  readonly sent = new Map<string, string[]>();

  readonly store: MemoryStore;

  readonly hosts: LogHosts;

  private openRequests = 0;

  private step = 0;

  constructor(
    private readonly scheduler: fc.Scheduler,
    storeBehaviours: Iterator<CallBehaviour>,
    peerBehaviours: Iterator<PeerBehaviour>,
    private readonly faultSteps: number,
  ) {
    const draw = <Behaviour>(behaviours: Iterator<Behaviour>, healthy: Behaviour): Behaviour =>
      this.step < faultSteps ? (behaviours.next().value as Behaviour) : healthy;
    this.store = createMemoryStore((call) =>
      scheduler.schedule(Promise.resolve(draw(storeBehaviours, 'answered')), call),
    );
    const gate = () => scheduler.schedule(Promise.resolve(draw(peerBehaviours, 'answered')), 'peer');
    this.hosts = startLogHosts(this.store.client, { hosts: HOSTS, limits: LIMITS, gate });
  }

  /** Runs calls in the order of the scheduler and advances the clock in between, until every request has ended. */
  async runUntilDone(plans: readonly Plan[]): Promise<void> {
    for (; this.step < STEPS && (this.step <= this.faultSteps || this.openRequests > 0); this.step += 1) {
      plans
        .map((plan, index) => ({ plan, index }))
        .filter(({ plan }) => plan.atStep === this.step)
        .forEach(({ plan, index }) => this.start(plan, `c${index}`));
      if (this.step === Math.floor(this.faultSteps / 2)) {
        this.hosts.clock.stepWall(ANSWERS_EXPIRE_MS);
      }
      await this.runNextCall();
    }
    assert.equal(this.openRequests, 0, 'a request never ended although the store answers');
  }

  /** Reads every key on every host, with a fresh read of the log. */
  async readAll(): Promise<readonly (readonly LogView[])[]> {
    const options = { refresh: true, limitMs: LIMIT_MS };
    const reads = this.hosts.logs.map((logs) => Promise.all(KEYS.map((key) => logs.readHere(key, options))));
    let views: readonly (readonly LogView[])[] | undefined;
    Promise.all(reads)
      .then((read) => {
        views = read;
      })
      .catch(() => assert.fail('a read rejected'));
    for (let step = 0; step < STEPS && views === undefined; step += 1) {
      await this.runNextCall();
    }
    return views ?? assert.fail('a read never ended although the store answers');
  }

  /** Runs the next call and advances the clock. */
  private async runNextCall(): Promise<void> {
    if (this.scheduler.count() > 0) {
      await this.scheduler.waitOne();
    }
    this.hosts.clock.advance(this.scheduler.count() > 0 ? 1 : 20);
    await new Promise(setImmediate);
  }

  private start(plan: Plan, claimId: string): void {
    this.openRequests += 1;
    this.request(plan, claimId)
      .then(() => {
        this.openRequests -= 1;
      })
      .catch(() => assert.fail('a call to the logs rejected'));
  }

  private async request({ host, key }: Plan, claimId: string): Promise<void> {
    const logs = this.hosts.logs[host] ?? assert.fail();
    const wallMs = this.hosts.clock.wallMs();
    const fields = { keyHash: key, bodyHash: 'b', claimId, hostId: `h${host}/p`, wallMs };
    const result = await logs.submit({ type: 'claim', ...fields }, LIMIT_MS);
    if (result.type === 'done') {
      this.sent.set(key, [...(this.sent.get(key) ?? []), claimId]);
      const outcome = { type: 'answered' as const, answer: JSON.stringify(claimId) };
      await logs.persist({ type: 'outcome', keyHash: key, claimId, outcome, wallMs });
    } else if (result.type === 'unavailable') {
      const release: ClaimOp = { type: 'release', ...fields };
      await logs.persist(release);
    }
  }
}

const readStatus = (view: LogView): string => (view.type === 'record' ? view.record.status.type : view.type);

const plan = fc.record({
  host: fc.nat({ max: HOSTS - 1 }),
  key: fc.constantFrom(...KEYS),
  atStep: fc.nat({ max: 120 }),
});
const storeBehaviour = fc.constantFrom<CallBehaviour>(
  ...(['answered', 'answered', 'answered', 'answered', 'not-arrived', 'reply-lost', 'late-effect'] as const),
);
const peerBehaviour = fc.constantFrom<PeerBehaviour>('answered', 'answered', 'answered', 'not-connected', 'reply-lost');

test('exactly one claim per key is granted and all hosts agree, whatever the order of replies between hosts and store', async () => {
  let segments = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.infiniteStream(storeBehaviour),
      fc.infiniteStream(peerBehaviour),
      fc.array(plan, { minLength: 6, maxLength: 20, size: 'max' }),
      async (scheduler, storeBehaviours, peerBehaviours, plans) => {
        const run = new Run(scheduler, storeBehaviours, peerBehaviours, 150);
        await run.runUntilDone(plans);
        run.sent.forEach((claims, key) => assert.equal(claims.length, 1, `${key} was granted to ${claims.join()}`));
        // Only the status is compared: a compaction between two reads shortens an expired answer but keeps the claim finished.
        const views = (await run.readAll()).map((view) => view.map(readStatus));
        views.forEach((view) => assert.deepEqual(view, views[0]));
        KEYS.filter((key) => run.sent.has(key)).forEach((key) =>
          assert.equal(views[0]?.[KEYS.indexOf(key)], 'finished', `${key} was sent but its record is not finished`),
        );
        segments += run.store.keys().filter((key) => key.includes('/segment/')).length;
      },
    ),
    { numRuns: 150, seed: 4_715 },
  );
  assert.ok(segments > 0, 'the runs must seal segments');
});

test('a host whose peers do not reply appends directly within the deadline, instead of asking them again in turn', async () => {
  const { clock, logs } = startLogHosts(createMemoryStore().client, {
    hosts: 3,
    limits: {},
    gate: () => Promise.resolve('reply-lost'),
  });
  const results: string[] = [];
  logs.forEach((log, host) => {
    const keyHash = KEYS[host] ?? assert.fail();
    const fields = { keyHash, bodyHash: 'b', claimId: `c${host}`, hostId: `h${host}/p`, wallMs: 0 };
    const claim: ClaimOp = { type: 'claim', ...fields };
    const submitted = [log.submit(claim, LIMIT_MS), log.persist(claim)];
    Promise.all(submitted)
      .then(([result]) => results.push(result?.type ?? 'none'))
      .catch(() => assert.fail('a call to the logs rejected'));
  });
  for (let passedMs = 0; passedMs < LIMIT_MS && results.length < 3; passedMs += 10) {
    clock.advance(10);
    await new Promise(setImmediate);
  }
  assert.deepEqual(results, ['done', 'done', 'done']);
});

test('a host and its peers get their claims decided within 2 s although the store loses 40 replies', async () => {
  const lost = { read: 20, txn: 20 };
  const store = createMemoryStore((call) => {
    const kind = call === 'txn' ? 'txn' : 'read';
    lost[kind] -= call.endsWith(' reply') ? 0 : 1;
    return Promise.resolve(call.endsWith(' reply') || lost[kind] < 0 ? 'answered' : 'reply-lost');
  });
  const gate = (): Promise<PeerBehaviour> => Promise.resolve('answered');
  const { clock, logs } = startLogHosts(store.client, { hosts: HOSTS, limits: {}, gate });
  const results = new Map<string, string[]>();
  Array.from({ length: 30 }, (_, index) => `k${index}`).forEach((keyHash, index) =>
    [0, 1].forEach((n) => {
      const host = (index + n) % HOSTS;
      const fields = { keyHash, bodyHash: 'b', claimId: `${keyHash}/${n}`, hostId: `h${host}/p`, wallMs: 0 };
      logs[host]
        ?.submit({ type: 'claim', ...fields }, 2_000)
        .then(({ type }) => results.set(keyHash, [...(results.get(keyHash) ?? []), type].sort()))
        .catch(() => assert.fail('a call to the logs rejected'));
    }),
  );
  for (let passedMs = 0; passedMs < 2_000; passedMs += 5) {
    clock.advance(5);
    await new Promise(setImmediate);
  }
  assert.deepEqual([lost.read < 0, lost.txn < 0, results.size], [true, true, 30]);
  results.forEach((types, keyHash) => assert.deepEqual(types, ['done', 'taken'], keyHash));
});
