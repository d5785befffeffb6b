import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createStreamOrigins, { type StreamOriginsOptions } from './createStreamOrigins.js';
import { formatAgreed } from './originTexts.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };
const V2 = { pool: 'lm', softwareVersion: 'v2' };
const ROUTE = { name: 'chat', kind: 'stream', resumable: true, timeoutMs: 2_000, pools: [{ pool: 'lm', weight: 1 }] };

const settle = async (): Promise<void> => {
  for (let nth = 0; nth < 20; nth += 1) {
    await Promise.resolve();
  }
};

test('agreed origins are not replaced by a host that was paused while a server of theirs came and left', async () => {
  const clock = createManualClock();
  let value = formatAgreed(new Map([['chat', V1]]));
  const listed = [V2];
  let revision = 1;
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    eras: { onEvent: () => undefined },
    directory: { list: () => listed },
    tables: { current: () => ({ table: { routes: [ROUTE] } }) },
    format: { agreedOriginsKey: 'agreed', streamPrefix: 'streams/', serverPrefix: 'servers/', readServer: () => V2 },
    store: {
      get: (key: string) => Promise.resolve(key === 'agreed' ? { value, modRevision: String(revision) } : undefined),
      range: () => Promise.resolve({ entries: [{ key: 'servers/s2', value: '' }] }),
      txn: (_: unknown, [put]: readonly { readonly value: string }[]) => {
        value = put?.value ?? '';
        revision += 1;
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as StreamOriginsOptions;
  const owner = createStreamOrigins(options);
  owner.putAgreed(value);
  const self = { hostId: 'h0' };
  owner.start({ self, rankOwners: () => [self] } as unknown as Parameters<typeof owner.start>[0]);
  for (let second = 0; second < 5; second += 1) {
    clock.advance(1_000);
    await settle();
  }
  // The process is stopped: its timers do not run for ten seconds. A server of v1 comes and leaves meanwhile, and a
  // stream begins there without a record one second before the end of the pause; it lives for 14 s.
  const timers: (() => void)[] = [];
  Object.assign(clock, {
    schedule: (
      (schedule) => (delayMs: number, run: () => void) =>
        schedule(delayMs, () => timers.push(run))
    )(clock.schedule.bind(clock)),
  });
  clock.advance(10_000);
  await settle();
  timers.splice(0).forEach((run) => run());
  await settle();
  clock.advance(1_000);
  timers.splice(0).forEach((run) => run());
  await settle();
  const found = await createStreamOrigins(options).find(ROUTE as unknown as Parameters<typeof owner.find>[0], 'one');
  owner.close();
  assert.deepEqual(found, { type: 'known', origin: V1, source: 'agreed' });
});
