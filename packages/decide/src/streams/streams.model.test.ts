import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import findContinuers from './findContinuers.js';
import isSameOrigin from './isSameOrigin.js';
import planAgreement, { type UnservedSinceMs } from './planAgreement.js';
import type { AgreedOrigins, StreamOrigin } from './types.js';

/**
 * Model of two hosts, a store and servers of two versions. Hosts are killed, cut off from the store and get their lists
 * of servers late or from each other; streams begin, are recorded and are taken up.
 */
const ROUTE = 'chat';
const POOL = 'lm';
const LIFE_MS = 40_000;
const HOSTS = [0, 1] as const;
const VERSIONS = ['v1', 'v2'] as const;

type Action =
  | { readonly type: 'begin' | 'begin-answer-lost'; readonly host: number; readonly version: string }
  | { readonly type: 'take-up'; readonly host: number; readonly stream: number }
  | { readonly type: 'kill' | 'cut' | 'heal' | 'learn' | 'review'; readonly host: number }
  | { readonly type: 'kill-all' | 'pass-life' }
  | { readonly type: 'join' | 'leave'; readonly version: string };

interface Server extends StreamOrigin {
  readonly id: number;
}

interface Host {
  isCut: boolean;
  /** Undefined for a host that has not reached the store or another host since its start. */
  servers: readonly Server[] | undefined;
  agreed: AgreedOrigins;
  /** Position of what it knows in the history of the store. */
  position: number;
  unservedSinceMs: UnservedSinceMs;
}

interface Outcome {
  joined: number;
  refusedInTouch: number;
  continued: number;
}

class World {
  readonly outcome: Outcome = { joined: 0, refusedInTouch: 0, continued: 0 };

  private nowMs = 0;

  private position = 1;

  private nextId = 2;

  private servers: readonly Server[] = [{ id: 1, pool: POOL, softwareVersion: 'v1' }];

  private agreed: AgreedOrigins = new Map([[ROUTE, { pool: POOL, softwareVersion: 'v1' }]]);

  private readonly records = new Map<number, StreamOrigin>();

  private streams: readonly { readonly id: number; readonly origin: StreamOrigin }[] = [];

  private readonly hosts: readonly Host[] = HOSTS.map(() => this.startHost(false));

  run(action: Action): void {
    switch (action.type) {
      case 'begin':
      case 'begin-answer-lost':
        this.begin(this.hosts[action.host] as Host, action.version, action.type === 'begin');
        break;
      case 'take-up':
        this.takeUp(this.hosts[action.host] as Host, action.stream);
        break;
      case 'kill':
        this.restart(action.host);
        break;
      case 'kill-all':
        HOSTS.forEach((host) => this.restart(host));
        break;
      case 'cut':
        (this.hosts[action.host] as Host).isCut = true;
        break;
      case 'heal':
        (this.hosts[action.host] as Host).isCut = false;
        break;
      case 'learn':
        this.learn(action.host);
        break;
      case 'review':
        this.review(this.hosts[action.host] as Host);
        break;
      case 'pass-life':
        // Streams that began before have ended; each host in touch has its list by then.
        this.nowMs += LIFE_MS;
        this.streams = [];
        HOSTS.forEach((host) => this.learn(host));
        break;
      case 'join':
        this.servers = [...this.servers, { id: this.nextId, pool: POOL, softwareVersion: action.version }];
        this.nextId += 1;
        this.position += 1;
        break;
      default:
        this.servers = this.servers.filter(({ softwareVersion }) => softwareVersion !== action.version);
        this.position += 1;
    }
  }

  private startHost(isCut: boolean): Host {
    const known = isCut ? { servers: undefined, agreed: new Map() } : { servers: this.servers, agreed: this.agreed };
    return { ...known, isCut, position: isCut ? 0 : this.position, unservedSinceMs: new Map() };
  }

  private restart(host: number): void {
    const { isCut } = this.hosts[host] as Host;
    Object.assign(this.hosts[host] as Host, this.startHost(isCut));
  }

  /** A host gets the servers and the agreed origins from the store, or from the other host when it is cut off. */
  private learn(host: number): void {
    const self = this.hosts[host] as Host;
    const other = this.hosts[1 - host] as Host;
    if (!self.isCut) {
      Object.assign(self, { servers: this.servers, agreed: this.agreed, position: this.position });
    } else if (other.position > self.position) {
      Object.assign(self, { servers: other.servers, agreed: other.agreed, position: other.position });
    }
  }

  private begin(host: Host, version: string, isAnswered: boolean): void {
    const listed = host.servers?.find(({ softwareVersion }) => softwareVersion === version);
    if (listed === undefined || !this.servers.some(({ id }) => id === listed.id)) {
      return;
    }
    const origin = { pool: POOL, softwareVersion: version };
    const agreed = host.agreed.get(ROUTE);
    const id = this.nextId;
    this.nextId += 1;
    if (!isSameOrigin(origin, agreed)) {
      if (!host.isCut) {
        // A write without an answer may have taken effect.
        this.records.set(id, origin);
      }
      const isRecorded = !host.isCut && isAnswered;
      const hasAgreedServers = agreed !== undefined && findContinuers(host.servers ?? [], agreed).length > 0;
      if (!isRecorded && hasAgreedServers) {
        return;
      }
    }
    this.streams = [...this.streams, { id, origin }];
  }

  private takeUp(host: Host, nth: number): void {
    const stream = this.streams[nth % Math.max(1, this.streams.length)];
    if (stream === undefined || host.isCut) {
      return;
    }
    const origin = this.records.get(stream.id) ?? this.agreed.get(ROUTE);
    const [server] = origin === undefined ? [] : findContinuers(host.servers ?? [], origin);
    if (server !== undefined && this.servers.some(({ id }) => id === server.id)) {
      this.outcome[isSameOrigin(server, stream.origin) ? 'continued' : 'joined'] += 1;
    } else if (findContinuers(this.servers, stream.origin).length > 0 && host.position === this.position) {
      this.outcome.refusedInTouch += 1;
    }
  }

  private review(host: Host): void {
    if (host.isCut || host.servers === undefined) {
      return;
    }
    const base = {
      agreed: this.agreed,
      routes: [{ name: ROUTE, pools: [POOL] }],
      streamLifeMs: LIFE_MS,
      nowMs: this.nowMs,
    };
    const listVersions = (servers: readonly Server[]) => servers.map(({ softwareVersion }) => softwareVersion);
    const { servers, unservedSinceMs } = host;
    const expected = planAgreement({ ...base, unservedSinceMs, versionsOf: () => listVersions(servers) });
    Object.assign(host, { unservedSinceMs: expected.unservedSinceMs });
    if (expected.agreed !== this.agreed) {
      const confirmed = { ...base, unservedSinceMs: expected.unservedSinceMs };
      this.agreed = planAgreement({ ...confirmed, versionsOf: () => listVersions(this.servers) }).agreed;
      this.position += 1;
    }
  }
}

const host = fc.constantFrom(...HOSTS);
const version = fc.constantFrom(...VERSIONS);
const stepArbitrary: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ type: fc.constant('begin' as const), host, version }),
  fc.record({ type: fc.constant('begin-answer-lost' as const), host, version }),
  fc.record({ type: fc.constant('take-up' as const), host, stream: fc.nat({ max: 5 }) }),
  fc.record({ type: fc.constantFrom('kill' as const, 'cut' as const, 'heal' as const), host }),
  fc.record({ type: fc.constantFrom('learn' as const, 'review' as const), host }),
  fc.record({ type: fc.constantFrom('kill-all' as const, 'pass-life' as const) }),
  fc.record({ type: fc.constantFrom('join' as const, 'leave' as const), version }),
);

const runAll = (actions: readonly Action[]): Outcome => {
  const world = new World();
  actions.forEach((action) => world.run(action));
  return world.outcome;
};

// Guards against streams that hold events of two software versions, whatever hosts know and when they are killed.
test('no order of begins, records, kills, cuts, late lists and releases joins two versions in a stream', () => {
  let continued = 0;
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }), (actions) => {
      const outcome = runAll(actions);
      continued += outcome.continued;
      assert.equal(outcome.joined, 0);
    }),
    { seed: 39, numRuns: 20_000 },
  );
  assert.ok(continued > 1_000, `${continued} streams went on`);
});

const listActions = (): readonly Action[] => [
  ...HOSTS.flatMap((one): Action[] => [
    ...VERSIONS.map((each) => ({ type: 'begin' as const, host: one, version: each })),
    { type: 'take-up', host: one, stream: 0 },
    { type: 'cut', host: one },
    { type: 'learn', host: one },
  ]),
  { type: 'begin-answer-lost', host: 0, version: 'v2' },
  { type: 'kill-all' },
  { type: 'pass-life' },
  { type: 'review', host: 0 },
  { type: 'join', version: 'v2' },
  { type: 'leave', version: 'v1' },
];

test('no order of four steps during a release joins two versions in a stream', () => {
  const actions = listActions();
  const release: readonly Action[] = [
    { type: 'join', version: 'v2' },
    { type: 'learn', host: 0 },
  ];
  const visit = (steps: readonly Action[], depth: number): void => {
    assert.equal(runAll(steps).joined, 0, JSON.stringify(steps));
    if (depth > 0) {
      actions.forEach((action) => visit([...steps, action], depth - 1));
    }
  };
  visit(release, 4);
});

test('streams that hosts in touch are asked to take up go on while servers of their version serve', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }), (actions) => {
      const inTouch = actions.filter(({ type }) => type !== 'cut' && type !== 'begin-answer-lost');
      assert.equal(runAll(inTouch).refusedInTouch, 0);
    }),
    { seed: 39, numRuns: 5_000 },
  );
});
