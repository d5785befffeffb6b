import * as z from 'zod/mini';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';

/** A block as it stands in the store. */
export interface BlockText {
  readonly decidedBy: string;
  /** End of the block, wall time; undefined from hosts of earlier versions. */
  readonly endsAtMs?: number | undefined;
  /** Latest release of the request that the deciding host knew; undefined without one. */
  readonly release?: string | undefined;
}

const blockSchema = z.object({
  decidedBy: z.string(),
  endsAtMs: z.optional(z.number()),
  release: z.optional(z.string()),
});

/** Formats a block for the store. */
export const formatBlock = (block: BlockText): string => JSON.stringify(block);

/** Parses a block from the store; undefined when it is invalid. */
export const readBlockText = (text: string): BlockText | undefined => {
  try {
    return blockSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
};

/** Reads the remaining time of a block, capped at that of a new block in case the writing host's clock is wrong. */
export const readRemainingMs = ({ endsAtMs }: BlockText, wallMs: number): number =>
  endsAtMs === undefined ? POISON_BLOCK_MS : Math.max(0, Math.min(POISON_BLOCK_MS, endsAtMs - wallMs));
