import * as z from 'zod/mini';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';

/** A block as it stands in the store. */
export interface BlockText {
  readonly decidedBy: string;
  /** Wall time; undefined from hosts of earlier versions. */
  readonly endsAtMs?: number | undefined;
  /** Latest release of the request that the host knew when it decided. */
  readonly release?: string | undefined;
}

const blockSchema = z.object({
  decidedBy: z.string(),
  endsAtMs: z.optional(z.number()),
  release: z.optional(z.string()),
});

/** Formats a block for the store. */
export const formatBlock = (block: BlockText): string => JSON.stringify(block);

/** Reads a block of the store; undefined when it cannot be read. */
export const readBlockText = (text: string): BlockText | undefined => {
  try {
    return blockSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
};

/** Time for which a block of the store holds; a clock that is wrong makes it no longer than a new one. */
export const readRemainingMs = ({ endsAtMs }: BlockText, wallMs: number): number =>
  endsAtMs === undefined ? POISON_BLOCK_MS : Math.max(0, Math.min(POISON_BLOCK_MS, endsAtMs - wallMs));
