import assert from 'node:assert/strict';
import { test } from 'node:test';
import { indexRoutes, type RouteIndex } from '@bergamotcove/decide';
import type { Route, RouteOrganisation } from '@bergamotcove/config';
import createResidency, { type ResidentRequest } from './createResidency.js';

interface Scopes {
  readonly route?: readonly string[];
  readonly organisation?: readonly string[];
}

const createFixture = () => {
  const events: object[] = [];
  let index: RouteIndex | undefined;
  let notify: (changed: RouteIndex) => void = () => undefined;
  const residency = createResidency({
    logger: { event: (name: string, fields: object) => events.push({ name, ...fields }) } as never,
    tables: {
      current: () => index,
      onChange: (run) => {
        notify = run;
      },
    },
    regions: () => ({ a: 'r1', b: 'r2' }),
  });
  const setTable = (version: number, { route, organisation }: Scopes, path = '/x/'): void => {
    index = indexRoutes({
      version,
      routes: [{ name: 'x', host: 'h', pathPrefix: path, homeRegions: route } as Route],
      pools: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      organisations: [{ name: 'o', keys: ['k'], homeRegions: organisation } as unknown as RouteOrganisation],
    });
    notify(index);
  };
  return { events, residency, setTable };
};

const REQUEST = {
  host: 'h',
  path: '/x/1',
  facts: { organisationKey: 'k' },
  route: { homeRegions: ['r1'] },
  organisation: undefined,
} as unknown as ResidentRequest;

test('the newest table decides, and the one of the request when the newest lacks its route', () => {
  const { residency, setTable } = createFixture();
  assert.deepEqual(residency.findRegions(REQUEST), ['r1']);
  setTable(1, {});
  assert.equal(residency.findRegions(REQUEST), undefined);
  setTable(2, { route: ['r1', 'r2'], organisation: ['r2'] });
  assert.deepEqual(residency.findRegions(REQUEST), ['r2']);
  assert.deepEqual([residency.permits(REQUEST, 'r2'), residency.permits(REQUEST, 'r1')], [true, false]);
  setTable(3, {}, '/y/');
  assert.deepEqual(residency.findRegions(REQUEST), ['r1']);
});

test('open requests are reviewed after tables that restrict them only, until they end', () => {
  const { residency, setTable } = createFixture();
  let reviews = 0;
  const stop = residency.onRestricted(REQUEST, () => {
    reviews += 1;
  });
  setTable(1, {});
  assert.equal(reviews, 0);
  setTable(2, { route: ['r2'] });
  stop();
  setTable(3, { route: ['r1'] });
  assert.equal(reviews, 1);
});

test('regions that do not exist are logged once for each version of the table', () => {
  const { events, setTable } = createFixture();
  setTable(1, { route: ['r1'] });
  setTable(2, { route: ['r9'], organisation: ['r2', 'r8'] });
  const event = { name: 'homeRegionsUnserved', version: 2, unknown: ['r9', 'r8'], unserved: ['route x'] };
  assert.deepEqual(events, [event]);
});
