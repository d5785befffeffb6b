import { FAULTS, ONCE_STEPS, STEPS } from './constants.js';
import createRandom from './createRandom.js';
import expectOutcomes from './expectOutcomes.js';
import type { Cell, Injection, OperationName } from './types.js';

const OPERATIONS: readonly OperationName[] = ['explain', 'post-entry'];

const createCell = (operation: OperationName, injections: readonly Injection[]): Cell => ({
  name: `${operation}/${injections.map(({ step, fault }) => `${step}+${fault}`).join('&')}`,
  operation,
  injections,
  allowed: expectOutcomes(operation, injections),
});

const listInjections = (operation: OperationName): readonly Injection[] =>
  STEPS.filter((step) => operation === 'post-entry' || !ONCE_STEPS.includes(step)).flatMap((step) =>
    FAULTS.map((fault) => ({ step, fault })),
  );

/**
 * Lists the cells with a single fault: every fault at every step of both operations.
 *
 * @returns the cells
 */
export default function listCells(): readonly Cell[] {
  return OPERATIONS.flatMap((operation) =>
    listInjections(operation).map((injection) => createCell(operation, [injection])),
  );
}

/**
 * Excludes equal faults, and a pause with a clock step: a separate process can be paused, but its clock cannot be
 * stepped.
 */
const canCombine = (first: Injection, second: Injection): boolean => {
  const faults = [first.fault, second.fault];
  return first.fault !== second.fault && !(faults.includes('pause') && faults.includes('clock-step'));
};

/**
 * Draws pairs of different faults at seeded steps.
 *
 * @param seed - seed of the draw
 * @param count - number of pairs
 * @returns the cells
 */
export function listPairs(seed: number, count: number): readonly Cell[] {
  const random = createRandom(seed, 'pairs');
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item;
  const draw = (): Cell => {
    const operation = pick(OPERATIONS);
    const injections = listInjections(operation);
    const first = pick(injections);
    const second = pick(injections.filter((other) => canCombine(first, other)));
    return createCell(operation, [first, second]);
  };
  return Array.from({ length: count }, draw);
}
