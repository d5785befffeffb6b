import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { RouteTable } from '@bergamotcove/config';
import type { CatalogueFormat } from '../ports.js';
import sampleFormat from '../testing/sampleFormat.js';
import createRouteTableHolder from './createRouteTableHolder.js';

const FORMAT: CatalogueFormat = {
  ...sampleFormat,
  readRouteTable: (text) =>
    text === 'broken'
      ? undefined
      : ({
          version: Number(text),
          routes: [],
          pools: [],
          limits: {},
          organisations: undefined,
        } as unknown as RouteTable),
};

const createFixture = () => {
  const events: string[] = [];
  const logger = { event: (name: string) => events.push(name) };
  const holder = createRouteTableHolder({ clock: createManualClock(), logger, format: FORMAT });
  const offer = (text: string, revision: number): number | undefined => {
    holder.offer({ text, revision }, 'test');
    return holder.current()?.table.version;
  };
  return { holder, events, offer };
};

test('applies newer tables and notifies its listeners', () => {
  const { holder, offer } = createFixture();
  const seen: number[] = [];
  holder.onChange(({ table }) => seen.push(table.version));
  assert.equal(offer('1', 10), 1);
  assert.equal(offer('4', 12), 4);
  assert.deepEqual(seen, [1, 4]);
  assert.deepEqual(holder.stored(), { text: '4', revision: 12 });
});

test('ignores a lower version, and applies a higher one whatever its revision', () => {
  const { offer, events } = createFixture();
  offer('5', 20);
  assert.equal(offer('4', 21), 5);
  assert.equal(offer('4', 7), 5);
  assert.deepEqual(events.slice(1), ['routeTableRegressed', 'routeTableRegressed']);
  assert.equal(offer('6', 9), 6);
});

test('keeps the table in force when a newer one cannot be read', () => {
  const { offer, events } = createFixture();
  offer('5', 20);
  assert.equal(offer('broken', 21), 5);
  assert.equal(events.at(-1), 'routeTableUnreadable');
  assert.equal(offer('6', 22), 6);
});
