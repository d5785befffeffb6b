import type { Crash, PoisonState } from '../types.js';

/** Crashes under prompts with one part. */
export interface PartCrashes {
  readonly part: string;
  /** In the order of the state, with the fingerprints of the requests that have the part. */
  readonly crashes: readonly { readonly crash: Crash; readonly fingerprints: readonly string[] }[];
  /** Largest position of the part in a prompt, from 0. */
  readonly depth: number;
}

/** Whether a prompt that may have caused a crash has a part. */
export const hasPart = ({ prompts }: Crash, part: string): boolean =>
  [...prompts.values()].some((parts) => parts.includes(part));

/** Whether a blocked part of a prompt explains a crash. */
export const isExplained = ({ prompts }: Crash, blocks: PoisonState['blocks']): boolean =>
  [...prompts.values()].some((parts) => parts.some((part) => blocks.has(part)));

interface Collected {
  readonly crashes: Map<Crash, string[]>;
  depth: number;
}

/** Groups crashes by the parts of their prompts. */
export const groupByPart = (crashes: readonly Crash[]): readonly PartCrashes[] => {
  const groups = new Map<string, Collected>();
  crashes.forEach((crash) =>
    crash.prompts.forEach((parts, fingerprint) =>
      parts.forEach((part, position) => {
        const group = groups.get(part) ?? { crashes: new Map<Crash, string[]>(), depth: 0 };
        group.depth = Math.max(group.depth, position);
        group.crashes.set(crash, [...(group.crashes.get(crash) ?? []), fingerprint]);
        groups.set(part, group);
      }),
    ),
  );
  return [...groups].map(([part, { crashes: found, depth }]) => ({
    part,
    depth,
    crashes: [...found].map(([crash, fingerprints]) => ({ crash, fingerprints })),
  }));
};
