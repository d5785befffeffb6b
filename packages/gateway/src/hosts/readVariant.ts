import matchesShape, { type Shape } from './matchesShape.js';

/**
 * Reads an answer of another host that is one of several variants, distinguished by their field `type`.
 *
 * @param answer - answer of the host
 * @param shapes - fields that are read from each variant
 * @returns the answer; undefined when it is none of the variants, or lacks fields
 */
export default function readVariant<Variant extends { readonly type: string }>(
  answer: unknown,
  shapes: Readonly<Record<Variant['type'], Shape>>,
): Variant | undefined {
  if (!matchesShape(answer, { type: 'string' })) {
    return undefined;
  }
  const { type } = answer as { readonly type: Variant['type'] };
  return Object.hasOwn(shapes, type) && matchesShape(answer, shapes[type]) ? (answer as Variant) : undefined;
}
