import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ClaimOp } from '@bergamotcove/protocol';
import { readStatus, ShardSimulation, type CallFate, type SimulatedHost } from './_lib/simulateShard.test.js';
import advanceShard from './advanceShard.js';
import compactRecords, { fromSnapshot, toSnapshot } from './compactRecords.js';
import { ANSWER_RETENTION_MS, CLAIM_RETENTION_MS } from './constants.js';
import createShardState from './createShardState.js';
import findRecord from './findRecord.js';
import isSameBody from './isSameBody.js';
import type { ShardAction, ShardEvent, ShardLimits, ShardState } from './types.js';

const RUNS = 1_500;
const HOSTS = 3;
const KEYS = ['k0', 'k1'];

type Fields = Pick<Extract<ClaimOp, { type: 'claim' }>, 'keyHash' | 'bodyHash' | 'claimId' | 'hostId' | 'wallMs'>;

/** One request of the model; at most one request per key may send its call. */
interface ModelClaim {
  readonly fields: Fields;
  readonly host: SimulatedHost;
  sentAtMs?: number;
  state: 'waiting' | 'given-up' | 'sent' | 'released' | 'refused';
}

class Model {
  readonly simulation: ShardSimulation;

  readonly claims: ModelClaim[] = [];

  readonly sent = new Map<string, number>();

  constructor(limits: ShardLimits = {}) {
    this.simulation = new ShardSimulation(HOSTS, limits);
  }

  host(index: number): SimulatedHost {
    return this.simulation.hosts[index] as SimulatedHost;
  }

  claim(hostIndex: number, keyHash: string): void {
    const host = this.host(hostIndex);
    const fields = {
      keyHash,
      bodyHash: 'b',
      claimId: `c${this.claims.length}`,
      hostId: host.hostId,
      wallMs: this.simulation.wallMs,
    };
    this.claims.push({ fields, host, state: 'waiting' });
    this.simulation.submit(host, fields.claimId, { type: 'claim', ...fields });
  }

  /** The request stops waiting, as at its deadline, and releases its claim so that the claim can take no effect. */
  giveUp(index: number): void {
    const claim = this.claims[index % Math.max(1, this.claims.length)];
    if (claim?.state === 'waiting') {
      this.simulation.send(claim.host, { type: 'abandoned', opId: claim.fields.claimId });
      this.release(claim);
      claim.state = 'given-up';
    }
  }

  /** Every waiting request whose claim is granted sends its call, or releases its claim without sending. */
  act(send: boolean): void {
    this.claims.forEach((claim) => {
      const result = claim.host.results.get(claim.fields.claimId);
      if (claim.state !== 'waiting' || result === undefined) {
        return;
      }
      if (result.type !== 'done') {
        Object.assign(claim, { state: 'refused' });
      } else if (send) {
        this.send(claim);
        const outcome = { type: 'answered' as const, answer: '1' };
        const { keyHash, claimId } = claim.fields;
        this.simulation.submit(claim.host, `${claimId}/o`, {
          type: 'outcome',
          keyHash,
          claimId,
          outcome,
          wallMs: this.simulation.wallMs,
        });
      } else {
        this.release(claim);
        Object.assign(claim, { state: 'released' });
      }
    });
  }

  check(): void {
    this.sent.forEach((count, key) => assert.ok(count <= 1, `${count} requests were sent under ${key}`));
  }

  /** Records a send and counts the sends under the key whose claims have not expired. */
  private send(claim: ModelClaim): void {
    const { keyHash } = claim.fields;
    const nowMs = this.simulation.wallMs;
    const unexpired = this.claims.filter(
      ({ fields, sentAtMs }) =>
        fields.keyHash === keyHash && sentAtMs !== undefined && fields.wallMs + CLAIM_RETENTION_MS >= nowMs,
    );
    Object.assign(claim, { state: 'sent', sentAtMs: nowMs });
    this.sent.set(keyHash, unexpired.length + 1);
  }

  private release(claim: ModelClaim): void {
    this.simulation.submit(claim.host, `${claim.fields.claimId}/r`, { type: 'release', ...claim.fields });
  }
}

const command = (name: string, apply: (model: Model) => void): fc.Command<object, Model> => ({
  check: () => true,
  run: (_, model) => {
    apply(model);
    model.check();
  },
  toString: () => name,
});

const hostIndex = fc.nat({ max: HOSTS - 1 });
const fates: CallFate[] = ['answered', 'answered', 'answered', 'not-arrived', 'reply-lost', 'late-effect'];
const commands = [
  fc
    .tuple(hostIndex, fc.constantFrom(...KEYS))
    .map(([host, key]) => command(`claim h${host} ${key}`, (model) => model.claim(host, key))),
  fc
    .tuple(hostIndex, fc.constantFrom(...fates))
    .map(([host, fate]) => command(`call h${host} ${fate}`, (m) => m.simulation.runCall(m.host(host), fate))),
  fc
    .tuple(hostIndex, fc.constantFrom(...fates))
    .map(([host, fate]) => command(`call h${host} ${fate}`, (m) => m.simulation.runCall(m.host(host), fate))),
  hostIndex.map((host) => command(`wake h${host}`, (model) => model.simulation.wake(model.host(host)))),
  hostIndex.map((host) => command(`turn h${host}`, (model) => model.simulation.grantTurn(model.host(host)))),
  hostIndex.map((host) => command(`turn h${host}`, (model) => model.simulation.grantTurn(model.host(host)))),
  fc.constant(command('late call arrives', (model) => model.simulation.runDelayedCall())),
  fc.nat({ max: 9 }).map((index) => command(`give up ${index}`, (model) => model.giveUp(index))),
  fc.boolean().map((send) => command(send ? 'send' : 'give back', (model) => model.act(send))),
  hostIndex.map((host) =>
    command(`refresh h${host}`, (m) => m.simulation.send(m.host(host), { type: 'refresh-requested', readId: 'r' })),
  ),
];

/** Durations after which answers expire, or, when two pass, claims. */
const durations = fc.constantFrom(ANSWER_RETENTION_MS + 1_000, (CLAIM_RETENTION_MS * 2) / 3);
const timedCommands = [
  ...commands,
  durations.map((durationMs) =>
    command(`${durationMs} ms pass`, (model) => model.simulation.advanceWallTime(durationMs)),
  ),
];

const finish = (model: Model): void => {
  model.simulation.settle();
  model.act(true);
  model.simulation.settle();
  model.check();
  model.simulation.hosts.forEach((host) => model.simulation.send(host, { type: 'refresh-requested', readId: 'last' }));
  model.simulation.settle();
  KEYS.forEach((key) => {
    const views = new Set(model.simulation.hosts.map((host) => readStatus(host, key)));
    assert.equal(views.size, 1, `the views of the hosts differ for ${key}: ${[...views].join(', ')}`);
  });
  const waiting = model.claims.filter((claim) => claim.state === 'waiting');
  assert.equal(waiting.length, 0, 'a claim was not decided although the store answers');
};

test('at most one request per key is sent under lost replies, late writes, pauses, compaction and takeover', () => {
  fc.assert(
    fc.property(fc.commands(commands, { maxCommands: 60, size: 'max' }), (run) => {
      const model = new Model();
      fc.modelRun(() => ({ model: {}, real: model }), run);
      finish(model);
    }),
    { numRuns: RUNS, seed: 4_711 },
  );
});

test('sealed segments keep at most one send per unexpired key, are never rewritten and are deleted when unlisted', () => {
  let sealed = 0;
  fc.assert(
    fc.property(fc.commands(timedCommands, { maxCommands: 120, size: 'max' }), (run) => {
      const model = new Model({ segmentBytes: 0, maxSegments: 2 });
      fc.modelRun(() => ({ model: {}, real: model }), run);
      finish(model);
      const numbers = (segments: readonly { readonly number: number }[]) => segments.map(({ number }) => number).sort();
      const { simulation } = model;
      assert.deepEqual(numbers(simulation.storedSegments()), numbers(simulation.listedSegments()));
      assert.ok(simulation.storedSegments().length <= 2, 'the limit on segments must hold');
      sealed += simulation.storedSegments().length;
    }),
    { numRuns: RUNS, seed: 4_712 },
  );
  assert.ok(sealed > 0, 'the runs must seal segments');
});

test('a released key runs exactly once more, so that a call that was never sent does not block its key', () => {
  const model = new Model();
  model.claim(0, 'k0');
  model.simulation.settle();
  model.act(false);
  model.simulation.settle();
  model.claim(1, 'k0');
  model.claim(2, 'k0');
  finish(model);
  assert.deepEqual([...model.sent], [['k0', 1]]);
});

test('a read that is requested during a read of the log is served by the next read', () => {
  const options = { hostId: 'h', wallMs: 0 };
  const loaded = { type: 'loaded', entries: [] } as const;
  const events: ShardEvent[] = [
    { type: 'refresh-requested', readId: 'first' },
    { type: 'refresh-requested', readId: 'second' },
    loaded,
    loaded,
  ];
  const played = events.reduce<{ readonly state: ShardState; readonly actions: readonly ShardAction[] }>(
    ({ state, actions }, event) => {
      const step = advanceShard(state, event, 0, options);
      return { state: step.state, actions: [...actions, ...step.actions] };
    },
    { state: createShardState(), actions: [] },
  );
  assert.deepEqual(
    played.actions.map((action) => (action.type === 'refreshed' ? action.readId : action.type)),
    ['load', 'first', 'load', 'second'],
  );
});

test('a host whose wall clock was stepped forward drops no unexpired claim', () => {
  const record = { bodyHash: 'b', claimId: 'c', wallMs: 0, status: { type: 'open' as const } };
  const records = new Map([
    ['own', { ...record, hostId: 'h0' }],
    ['other', { ...record, hostId: 'h1' }],
  ]);
  const shard = { records, runs: [], segments: [], nextSegment: 1 };
  const kept = compactRecords(shard, { hostId: 'h0', wallMs: CLAIM_RETENTION_MS * 2 });
  assert.equal(kept?.records.size, 2);
});

test('a snapshot restores the body hash and the outcome of finished claims in short form', () => {
  const status = { type: 'finished' as const, outcome: { type: 'dropped' as const }, wallMs: 5_000 };
  const records = new Map([['k', { bodyHash: 'b', claimId: 'c', hostId: 'h', wallMs: 5_000, status }]]);
  const shard = { records, runs: [], segments: [], nextSegment: 1 };
  const compacted = compactRecords(shard, { hostId: 'h', wallMs: 5_000 }) ?? assert.fail();
  const { runs } = fromSnapshot(toSnapshot(compacted, 3));
  const restored = findRecord({ ...createShardState(), runs }, 'k');
  assert.ok(restored !== undefined && isSameBody(restored, 'b') && !isSameBody(restored, 'c'));
  assert.deepEqual(restored.status, status);
});
