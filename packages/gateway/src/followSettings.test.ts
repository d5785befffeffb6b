import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import followSettings from './followSettings.js';
import type { GatewaySettings } from './settings.js';
import SAMPLE_SETTINGS from './testing/sampleSettings.js';

const withFollower = async (
  act: (fixture: {
    readonly clock: ReturnType<typeof createManualClock>;
    readonly applied: GatewaySettings[];
    readonly events: string[];
    readonly write: (text: string) => Promise<void>;
    readonly refresh: () => Promise<void>;
  }) => Promise<void>,
): Promise<void> => {
  const dir = await mkdtemp(path.join(tmpdir(), 'settings-'));
  const file = path.join(dir, 'settings.json');
  const text = JSON.stringify(SAMPLE_SETTINGS);
  await writeFile(file, text);
  const clock = createManualClock();
  const applied: GatewaySettings[] = [];
  const events: string[] = [];
  const follower = followSettings({
    clock,
    file,
    text,
    logger: { event: (name) => events.push(name) },
    apply: (settings) => {
      applied.push(settings);
      return [];
    },
  });
  try {
    await act({ clock, applied, events, write: (next) => writeFile(file, next), refresh: () => follower.refresh() });
  } finally {
    follower.close();
    await rm(dir, { recursive: true });
  }
};

test('applies changed settings on refresh', () =>
  withFollower(async ({ applied, events, write, refresh }) => {
    await refresh();
    assert.equal(applied.length, 0);
    await write(JSON.stringify({ ...SAMPLE_SETTINGS, stop: { graceSeconds: 4 } }));
    await refresh();
    assert.equal(applied[0]?.stop.graceMs, 4_000);
    assert.deepEqual(events, ['settingsApplied']);
  }));

test('applies changed settings without a refresh, by its timer', () =>
  withFollower(async ({ clock, applied, write }) => {
    await write(JSON.stringify({ ...SAMPLE_SETTINGS, stop: { graceSeconds: 4 } }));
    clock.advance(5_000);
    while (applied.length === 0) {
      await new Promise(setImmediate);
    }
    assert.equal(applied.length, 1);
  }));

test('keeps the previous settings when the new ones are invalid or partly written', () =>
  withFollower(async ({ applied, events, write, refresh }) => {
    await write('{"host":');
    await refresh();
    await write('{}');
    await refresh();
    assert.equal(applied.length, 0);
    assert.deepEqual(events, ['settingsUnreadable', 'settingsUnreadable']);
    await write(JSON.stringify({ ...SAMPLE_SETTINGS, retries: { ratio: 0.1, slack: 5, windowSeconds: 10 } }));
    await refresh();
    assert.equal(applied[0]?.retries.slack, 5);
  }));

test('a refresh while the file is read does not apply the same settings twice', () =>
  withFollower(async ({ applied, write, refresh }) => {
    await write(JSON.stringify({ ...SAMPLE_SETTINGS, stop: { graceSeconds: 4 } }));
    await Promise.all([refresh(), refresh()]);
    assert.equal(applied.length, 1);
  }));

test('applies a change between two refreshes', () =>
  withFollower(async ({ applied, write, refresh }) => {
    const first = refresh();
    await write(JSON.stringify({ ...SAMPLE_SETTINGS, stop: { graceSeconds: 4 } }));
    await Promise.all([first, refresh()]);
    assert.equal(applied.at(-1)?.stop.graceMs, 4_000);
  }));
