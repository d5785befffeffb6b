import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createManualClock } from '@bergamotcove/clock';
import type { RouteTable } from '@bergamotcove/config';
import type { CatalogueFormat, ServerEntry } from '../ports.js';
import sampleFormat from '../testing/sampleFormat.js';
import createBackendDirectory from './createBackendDirectory.js';
import createEvacuations from './createEvacuations.js';
import createCatalogueLog, { type CatalogueChange, type CatalogueEntry } from './createCatalogueLog.js';
import createCatalogueSink from './createCatalogueSink.js';
import createRouteTableHolder from './createRouteTableHolder.js';

const FORMAT: CatalogueFormat = {
  ...sampleFormat,
  readRouteTable: (text) =>
    ({ version: Number(text), routes: [], pools: [], limits: {}, organisations: undefined }) as unknown as RouteTable,
};
const SERVERS = ['s1', 's2', 's3'];
const SERVER_PLACE = { pool: 'p', address: '10.0.0.1', port: 1, failureDomain: 'a' };
/** Servers that expired have registered again, or are removed, after this time. */
const RETURN_MS = 2_000;

/** A change of the store, or a message about it that a host receives. */
type Step =
  | { readonly type: 'configure' }
  | { readonly type: 'leave'; readonly server: string }
  | { readonly type: 'restart'; readonly server: string }
  /** The store is restored as it was some changes ago; operator and servers write their entries again. */
  | { readonly type: 'restore'; readonly changes: number }
  /** A snapshot that is some states old arrives. */
  | { readonly type: 'snapshot'; readonly age: number }
  /** A relay sends the changes after a state that is some states old. */
  | { readonly type: 'changes'; readonly age: number };

interface State {
  readonly era: number;
  readonly revision: number;
  readonly entries: ReadonlyMap<string, CatalogueEntry>;
  readonly history: readonly CatalogueChange[];
}

/** Model of the store that keeps all of its states. */
class Store {
  readonly states: State[] = [{ era: 1, revision: 1, entries: new Map(), history: [] }];

  private readonly written = new Map<string, string>();

  get latest(): State {
    return this.states.at(-1) as State;
  }

  write(key: string, value: string): void {
    this.written.set(key, value);
    this.put(key, value);
  }

  restore(changes: number): void {
    const { era } = this.latest;
    const inEra = this.states.filter((state) => state.era === era);
    const copy = inEra[Math.max(0, inEra.length - 1 - changes)] as State;
    this.states.push({ ...copy, era: era + 1 });
    [...this.written]
      .reverse()
      .filter(([key, value]) => copy.entries.get(key)?.value !== value)
      .forEach(([key, value]) => this.put(key, value));
  }

  private put(key: string, value: string): void {
    const { era, revision, entries, history } = this.latest;
    const entry = { key, value, revision: revision + 1 };
    this.states.push({
      era,
      revision: entry.revision,
      entries: new Map([...entries, [key, entry]]),
      history: [...history, entry],
    });
  }
}

const createHost = () => {
  const clock = createManualClock();
  const logger = { event: () => undefined };
  const regions = { a: 'r1' };
  const evacuations = createEvacuations({ logger, regions: () => regions });
  const directory = createBackendDirectory({ clock, logger, format: FORMAT, regions, evacuations });
  const tables = createRouteTableHolder({ clock, logger, format: FORMAT });
  const blocks = {
    put: () => undefined,
    remove: () => undefined,
    putRelease: () => undefined,
    removeRelease: () => undefined,
    replace: () => undefined,
  };
  const origins = { putAgreed: () => undefined };
  const log = createCatalogueLog(
    createCatalogueSink({ logger, format: FORMAT, tables, directory, evacuations, blocks, origins }, () => undefined),
  );
  return { clock, directory, tables, log };
};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('configure' as const) }),
  fc.record({ type: fc.constant('leave' as const), server: fc.constantFrom(...SERVERS) }),
  fc.record({ type: fc.constant('restart' as const), server: fc.constantFrom(...SERVERS) }),
  fc.record({ type: fc.constant('restore' as const), changes: fc.nat({ max: 5 }) }),
  fc.record({ type: fc.constant('snapshot' as const), age: fc.nat({ max: 6 }) }),
  fc.record({ type: fc.constant('changes' as const), age: fc.nat({ max: 6 }) }),
);

test('after restores, late snapshots and late changes in any order no host regresses, and each one converges', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const store = new Store();
      const { clock, directory, tables, log } = createHost();
      const starts = new Map(SERVERS.map((server) => [server, 1]));
      /** Processes that this host has seen in the state `leaving`. */
      const seenLeaving = new Set<string>();
      let version = 0;
      let inForce = 0;
      const register = (server: string, state: 'live' | 'leaving'): void =>
        store.write(
          `servers/${server}`,
          JSON.stringify({ ...SERVER_PLACE, state, startedAtMs: starts.get(server) ?? 0 }),
        );
      const deliver = ({ era, revision, entries }: State): void =>
        log.replace({ era, revision, entries: [...entries.values()] });
      const check = (): void => {
        const current = tables.current()?.table.version ?? 0;
        assert.ok(current >= inForce, `version ${current} after ${inForce}`);
        inForce = current;
        SERVERS.map((server) => directory.find(server))
          .filter((server) => server?.state === 'leaving')
          .forEach((server) => seenLeaving.add(`${server?.serverId} ${server?.startedAtMs}`));
        directory
          .list('p')
          .forEach(({ serverId, startedAtMs }) => assert.ok(!seenLeaving.has(`${serverId} ${startedAtMs}`)));
      };
      const pick = (age: number): State => store.states[Math.max(0, store.states.length - 1 - age)] as State;
      SERVERS.forEach((server) => register(server, 'live'));
      steps.forEach((step) => {
        switch (step.type) {
          case 'configure':
            version += 3;
            store.write('table', String(version));
            break;
          case 'leave':
            register(step.server, 'leaving');
            break;
          case 'restart':
            starts.set(step.server, (starts.get(step.server) ?? 0) + 1);
            register(step.server, 'live');
            break;
          case 'restore':
            store.restore(step.changes);
            break;
          case 'snapshot':
            deliver(pick(step.age));
            break;
          default: {
            const from = pick(step.age);
            const { era, revision, history } = store.latest;
            if (era === from.era) {
              const changes = history.filter((change) => change.revision > from.revision);
              log.apply({ era, fromRevision: from.revision, toRevision: revision, changes });
            }
          }
        }
        check();
        clock.advance(100);
      });
      deliver(store.latest);
      clock.advance(RETURN_MS);
      check();
      assert.equal(tables.current()?.table.version ?? 0, version);
      const live = SERVERS.filter((server) => {
        const entry = store.latest.entries.get(`servers/${server}`);
        const { state, startedAtMs } = JSON.parse(entry?.value ?? '{}') as Partial<ServerEntry>;
        return state === 'live' && !seenLeaving.has(`${server} ${startedAtMs}`);
      });
      assert.deepEqual(
        directory
          .list('p')
          .map(({ serverId }) => serverId)
          .sort(),
        live,
      );
      directory.close();
    }),
    { numRuns: 400, seed: 20_261 },
  );
});
