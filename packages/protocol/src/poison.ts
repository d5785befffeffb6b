/** Calls between entry hosts about requests that crash backend servers. */
import { z } from 'zod';

/** Method that reports a crash, a block or a release to another host. */
export const POISON_REPORT = 'poison.report';
/** Method that asks another host for its blocked fingerprints. */
export const POISON_BLOCKS = 'poison.blocks';

const fingerprintSchema = z.string().min(1).max(64);

const MAX_FINGERPRINTS = 1_000;

/** Parameters of {@link POISON_REPORT}. */
export const poisonReportSchema = z.discriminatedUnion('type', [
  /** A backend server broke the connections of the requests that ran on it. */
  z.strictObject({
    type: z.literal('crash'),
    serverId: z.string().min(1),
    fingerprints: z.array(fingerprintSchema).min(1).max(MAX_FINGERPRINTS),
  }),
  z.strictObject({ type: z.literal('block'), fingerprint: fingerprintSchema, remainingMs: z.number().min(0) }),
  z.strictObject({ type: z.literal('release'), fingerprint: fingerprintSchema }),
]);

/** Parameters of {@link OPERATOR_RELEASE_POISON}. */
export const releasePoisonSchema = z.strictObject({ fingerprint: fingerprintSchema });

/** Answer to {@link POISON_BLOCKS}. */
export const poisonBlocksSchema = z.array(
  z.strictObject({ fingerprint: fingerprintSchema, remainingMs: z.number().min(0) }),
);

export type PoisonReport = Readonly<z.output<typeof poisonReportSchema>>;

/** One blocked fingerprint as operators see it. */
export interface PoisonBlock {
  readonly fingerprint: string;
  readonly remainingMs: number;
}
