import type { Difference } from './types.js';

type Fields = ReadonlyMap<string, unknown>;

const isObject = (value: unknown): value is object =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const readName = (item: unknown): string | undefined => {
  const name: unknown = isObject(item) ? Reflect.get(item, 'name') : item;
  return typeof name === 'string' ? name : undefined;
};

/** Names of the items of a list, or undefined when an item has none or a name repeats. */
const readNames = (list: readonly unknown[]): readonly string[] | undefined => {
  const names = list.map(readName).filter((name) => name !== undefined);
  return names.length === list.length && new Set(names).size === names.length ? names : undefined;
};

const joinPath = (path: string, key: string): string => (path === '' ? key : `${path}.${key}`);

/** Converts an object, or a list of named items, to fields; undefined for any other value. */
const toFields = (value: unknown): Fields | undefined => {
  if (Array.isArray(value)) {
    const names = readNames(value);
    return names === undefined ? undefined : new Map(names.map((name, index) => [name, value[index] as unknown]));
  }
  return isObject(value) ? new Map(Object.entries(value)) : undefined;
};

const isEqual = (before: unknown, after: unknown): boolean => JSON.stringify(before) === JSON.stringify(after);

const diffOrder = (path: string, before: readonly string[], after: readonly string[]): readonly Difference[] => {
  const keptBefore = before.filter((name) => after.includes(name));
  const keptAfter = after.filter((name) => before.includes(name));
  return isEqual(keptBefore, keptAfter) ? [] : [{ type: 'reordered', path, before, after }];
};

const diffValues = (path: string, before: unknown, after: unknown): readonly Difference[] => {
  const fieldsBefore = toFields(before);
  const fieldsAfter = toFields(after);
  if (fieldsBefore === undefined || fieldsAfter === undefined || Array.isArray(before) !== Array.isArray(after)) {
    return isEqual(before, after) ? [] : [{ type: 'changed', path, before, after }];
  }
  const keys = new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()]);
  const changes = [...keys].flatMap((key): readonly Difference[] => {
    const fieldPath = joinPath(path, key);
    if (!fieldsBefore.has(key)) {
      return [{ type: 'added', path: fieldPath, after: fieldsAfter.get(key) }];
    }
    if (!fieldsAfter.has(key)) {
      return [{ type: 'removed', path: fieldPath, before: fieldsBefore.get(key) }];
    }
    return diffValues(fieldPath, fieldsBefore.get(key), fieldsAfter.get(key));
  });
  const order = Array.isArray(before) ? diffOrder(path, [...fieldsBefore.keys()], [...fieldsAfter.keys()]) : [];
  return [...changes, ...order];
};

/**
 * Lists the differences between two documents, or any two JSON values. Items of lists are matched by name, so that a
 * stage inserted in the middle is one difference.
 *
 * @param before - the earlier value
 * @param after - the later value
 * @returns the differences in the order of the fields; empty when the values are equal
 * @example
 * diffDocuments({ deadlineMs: 3000 }, { deadlineMs: 2000 });
 * // [{ type: 'changed', path: 'deadlineMs', before: 3000, after: 2000 }]
 */
export default function diffDocuments(before: unknown, after: unknown): readonly Difference[] {
  return diffValues('', before, after);
}
