import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BatchSpec, PoolSpec, Route, RouteTable } from '../types.js';
import checkRouteTable from './checkRouteTable.js';
import diffRouteTables from './diffRouteTables.js';

const POOL: PoolSpec = { name: 'a', healthPath: '/', maxConnections: 1, batch: undefined, engine: undefined };
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/r/',
  kind: 'once',
  resumable: false,
  pools: [{ pool: 'a', weight: 1 }],
  maxAttempts: 1,
  timeoutMs: 1_000,
  objectiveMs: 500,
  maxPauseMs: undefined,
  priority: 0,
  stages: [],
  keyless: false,
};
const TABLE: RouteTable = {
  version: 1,
  routes: [ROUTE],
  pools: [POOL, { ...POOL, name: 'm', batch: {} as BatchSpec }],
  limits: { maxHeaderBytes: 10, maxBodyBytes: 100, headerTimeoutMs: 10, idleTimeoutMs: 100 },
  organisations: [{ name: 'o', keys: ['k'], priority: undefined }],
};
const WITH_STAGE = { ...ROUTE, stages: [{ pool: 'm', after: [], resultBytes: 1 }] };
const VALID = { ...TABLE, routes: [WITH_STAGE] };

const stagesAfter = (...inputs: readonly (readonly number[])[]): Partial<RouteTable> => ({
  routes: [{ ...ROUTE, stages: inputs.map((after) => ({ pool: 'm', after, resultBytes: 1 })) }],
});
const withRoute = (changes: Partial<Route>): Partial<RouteTable> => ({ routes: [{ ...WITH_STAGE, ...changes }] });
const withLimits = (changes: object): Partial<RouteTable> => ({ limits: { ...TABLE.limits, ...changes } });
const ORGANISATION = { name: 'p', keys: ['q'], priority: undefined };

test('a table without faults has no findings', () => {
  assert.deepEqual(checkRouteTable(VALID), []);
});

const cases: readonly (readonly [string, Partial<RouteTable>, string, RegExp])[] = [
  ['a hidden prefix', { routes: [WITH_STAGE, { ...WITH_STAGE, name: 's' }] }, 'error', /route r has the same host/],
  ['a prefix without a slash', withRoute({ pathPrefix: 'r/' }), 'error', /does not begin with a slash/],
  ['a name that is there twice', { routes: [WITH_STAGE, { ...WITH_STAGE, host: 'i' }] }, 'warning', /same name/],
  [
    'a key of two organisations',
    { organisations: [{ ...ORGANISATION, name: 'o' }, ORGANISATION] },
    'error',
    /organisation p/,
  ],
  ['an organisation without a key', { organisations: [{ ...ORGANISATION, keys: [] }] }, 'warning', /no key/],
  [
    'regions with nothing in common',
    { ...withRoute({ homeRegions: ['x'] }), organisations: [{ ...ORGANISATION, homeRegions: ['y'] }] },
    'warning',
    /organisation p/,
  ],
  ['a pool that does not exist', { pools: [...TABLE.pools.slice(1)] }, 'error', /pool a does not exist/],
  ['a pool that is there twice', { pools: [POOL, ...TABLE.pools] }, 'error', /entry 0 is replaced/],
  ['a pool that no route names', { routes: [ROUTE] }, 'warning', /no route/],
  ['stages of a pool without stage servers', { pools: [POOL, { ...POOL, name: 'm' }] }, 'error', /runs no pieces/],
  ['a weight of 0', withRoute({ pools: [...ROUTE.pools, { pool: 'm', weight: 0 }] }), 'warning', /weight 0/],
  ['weights of 0 only', withRoute({ pools: [{ pool: 'a', weight: 0 }] }), 'error', /no pool has a weight/],
  ['a negative weight', withRoute({ pools: [{ pool: 'a', weight: -1 }] }), 'error', /negative/],
  ['stages in a cycle', stagesAfter([], [2], [1, 0]), 'error', /stages 1, 2 wait/],
  ['a stage that waits for itself', stagesAfter([0]), 'error', /stages 0 wait/],
  ['a stage that does not exist', stagesAfter([1]), 'error', /stage 1, which does not exist/],
  ['an objective above the time limit', withRoute({ objectiveMs: 2_000 }), 'warning', /objective of 2000 ms/],
  ['a pause above the time limit', withRoute({ maxPauseMs: 2_000 }), 'warning', /pause/],
  ['a time limit of 0', withRoute({ timeoutMs: 0, objectiveMs: 0 }), 'error', /time limit is 0/],
  ['no attempts', withRoute({ maxAttempts: 0 }), 'error', /0 attempts/],
  ['a resumable answer', withRoute({ resumable: true }), 'warning', /only streams/],
  ['heads above bodies', withLimits({ maxHeaderBytes: 101 }), 'warning', /limit of heads/],
  ['slow heads', withLimits({ headerTimeoutMs: 101 }), 'warning', /idle connections/],
  ['a limit of 0', withLimits({ idleTimeoutMs: 0, headerTimeoutMs: 0 }), 'error', /idleTimeoutMs is 0/],
];

cases.forEach(([name, changes, severity, message]) =>
  test(`${name} is a finding of severity ${severity}`, () => {
    const findings = checkRouteTable({ ...VALID, ...changes });
    const found = findings.find((finding) => message.test(finding.message));
    assert.equal(found?.severity, severity, JSON.stringify(findings));
  }),
);

test('differences between tables name fields and show no key', () => {
  const after = { ...VALID, version: 2, organisations: [{ name: 'o', keys: ['secret'], priority: undefined }] };
  const differences = diffRouteTables(VALID, after);
  assert.deepEqual(
    differences.map(({ path }) => path.split('.').slice(0, 3).join('.')),
    ['version', 'organisations.o.keys', 'organisations.o.keys'],
  );
  assert.doesNotMatch(JSON.stringify(differences), /secret/);
});
