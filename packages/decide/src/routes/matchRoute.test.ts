import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Route, RouteTable } from '@bergamotcove/config';
import indexRoutes from './indexRoutes.js';
import matchRoute from './matchRoute.js';

const createRoute = (name: string, host: string, pathPrefix: string): Route => ({
  name,
  host,
  pathPrefix,
  kind: 'idempotent',
  resumable: false,
  pools: [{ pool: 'ledger', weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 800,
  objectiveMs: 150,
  maxPauseMs: undefined,
  priority: 0,
  stages: [],
  keyless: false,
});

const table: RouteTable = {
  version: 1,
  routes: [
    createRoute('short', 'a.example', '/x/'),
    createRoute('long', 'a.example', '/x/y/'),
    createRoute('other', 'b.example', '/x/'),
  ],
  pools: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  organisations: [{ name: 'clinic', keys: ['k1', 'k2'], priority: undefined }],
};

test('the route with the longest matching path prefix is chosen', () => {
  const index = indexRoutes(table);
  assert.equal(matchRoute(index, 'a.example', '/x/y/z')?.name, 'long');
  assert.equal(matchRoute(index, 'a.example', '/x/yz')?.name, 'short');
  assert.equal(matchRoute(index, 'b.example', '/x/y/z')?.name, 'other');
});

test('a path prefix does not match text in the query, and an unknown host has no route', () => {
  const index = indexRoutes(table);
  assert.equal(matchRoute(index, 'a.example', '/x?/y/'), undefined);
  assert.equal(matchRoute(index, 'c.example', '/x/'), undefined);
});

test('each key maps to its organisation, and an unknown key to none', () => {
  const index = indexRoutes(table);
  assert.equal(index.organisationsByKey.get('k2')?.name, 'clinic');
  assert.equal(index.organisationsByKey.get('k3'), undefined);
});
