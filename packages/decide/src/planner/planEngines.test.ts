import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import planEngines from './planEngines.js';
import type { AddressedOrder, EngineOrder, EngineView, PlannerInput, PlannerLimits } from './types.js';

const MODELS = ['a', 'b'];
const RUNS = 300;
const ROUNDS = 60;

const limits: PlannerLimits = {
  requestsPerCopy: 10,
  minCopies: 2,
  maxModelsPerEngine: 2,
  maxLoads: 2,
  prefillShare: 0,
};

const engine = (engineId: string, models: Record<string, string> = {}): EngineView => ({
  engineId,
  leaving: false,
  models,
  adapters: [],
  role: 'mixed',
  loading: [],
});

const applyOrder = (view: EngineView, order: EngineOrder): EngineView => {
  const { models } = view;
  switch (order.type) {
    case 'load-model':
      return { ...view, models: { ...models, [order.model]: '1' } };
    case 'load-version':
      return { ...view, models: { ...models, [order.model]: order.version } };
    case 'unload-model':
      return { ...view, models: Object.fromEntries(Object.entries(models).filter(([name]) => name !== order.model)) };
    case 'load-adapter':
      return { ...view, adapters: [...view.adapters, order.adapter] };
    default:
      return { ...view, role: order.role };
  }
};

/** Finishes the loads of the previous round and starts the given orders; unloads and roles take effect at once. */
const advance = (engines: readonly EngineView[], orders: readonly AddressedOrder[]): readonly EngineView[] =>
  engines.map((view) => {
    const loaded = view.loading.reduce(applyOrder, { ...view, loading: [] });
    const own = orders.filter(({ engineId }) => engineId === view.engineId).map(({ order }) => order);
    const isSlow = ({ type }: EngineOrder): boolean => type.startsWith('load');
    return { ...own.filter((order) => !isSlow(order)).reduce(applyOrder, loaded), loading: own.filter(isSlow) };
  });

const countReadyCopies = (engines: readonly EngineView[], model: string): number =>
  engines.filter(
    (view) =>
      view.models[model] !== undefined && !view.loading.some((order) => 'model' in order && order.model === model),
  ).length;

const keepsModelsReady = (
  { demand }: PlannerInput,
  before: readonly EngineView[],
  after: readonly EngineView[],
): boolean => demand.every(({ model }) => countReadyCopies(before, model) === 0 || countReadyCopies(after, model) > 0);

const inputs: fc.Arbitrary<PlannerInput> = fc.record({
  engines: fc
    .array(fc.dictionary(fc.constantFrom(...MODELS, 'old'), fc.constantFrom('1', '2'), { maxKeys: 2 }), {
      minLength: 2,
      maxLength: 6,
    })
    .map((list) => list.map((models, index) => engine(`e${index}`, models))),
  demand: fc.array(fc.nat(80), { minLength: 1, maxLength: 2 }).map((loads) =>
    loads.map((openRequests, index) => ({
      model: MODELS[index] as string,
      version: '2',
      adapters: [],
      openRequests,
    })),
  ),
  limits: fc.record({ prefillShare: fc.constantFrom(0, 0.4) }).map((change) => ({ ...limits, ...change })),
});

test('a model in use never loses its last ready copy, and loads stay within the limit of the weight store', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      let { engines } = input;
      for (let round = 0; round < ROUNDS; round += 1) {
        const { orders } = planEngines({ ...input, engines });
        const next = advance(engines, orders);
        if (!keepsModelsReady(input, engines, next) || next.flatMap((view) => view.loading).length > limits.maxLoads) {
          return false;
        }
        engines = next;
      }
      return true;
    }),
    { numRuns: RUNS },
  );
});

test('the plan converges: every model reaches its wanted version, and no further orders follow', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      let { engines } = input;
      for (let round = 0; round < ROUNDS; round += 1) {
        engines = advance(engines, planEngines({ ...input, engines }).orders);
      }
      const { desired, orders } = planEngines({ ...input, engines });
      const atTarget = desired.every(({ engineId, models }) =>
        models.every(({ model, version }) =>
          engines.some((view) => view.engineId === engineId && view.models[model] === version),
        ),
      );
      return orders.length === 0 && atTarget;
    }),
    { numRuns: RUNS },
  );
});

test('an order in progress is not sent again', () => {
  const first = engine('e0');
  const demand = [{ model: 'a', version: '2', adapters: [], openRequests: 0 }];
  const { orders } = planEngines({ engines: [first], demand, limits });
  assert.deepEqual(orders, [{ engineId: 'e0', order: { type: 'load-version', model: 'a', version: '2' } }]);
  const engines = advance([first], orders);
  assert.deepEqual(planEngines({ engines, demand, limits }).orders, []);
});

test('a model gains a copy when demand rises and loses one only after demand falls well below the capacity', () => {
  const engines = [0, 1, 2, 3].map((index) => engine(`e${index}`, index < 3 ? { a: '2' } : {}));
  const plan = (openRequests: number) =>
    planEngines({ engines, demand: [{ model: 'a', version: '2', adapters: [], openRequests }], limits }).orders;
  assert.equal(plan(35)[0]?.order.type, 'load-version');
  assert.deepEqual(plan(19), []);
  assert.equal(plan(12)[0]?.order.type, 'unload-model');
});
