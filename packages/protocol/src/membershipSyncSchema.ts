import { z } from 'zod';

/** Exchange of complete membership views by JSON-RPC `membership.sync`. */

const addressSchema = z.object({
  hostId: z.string().min(1),
  address: z.string().min(1),
  peersPort: z.int().min(0),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
});

const updateSchema = z.object({
  hostId: z.string().min(1),
  state: z.enum(['alive', 'suspect', 'leaving', 'dead', 'left']),
  incarnation: z.int().min(0),
  host: addressSchema,
});

/** Parameters and answer of `membership.sync`. */
export const membershipSyncSchema = z.object({ from: z.string(), updates: z.array(updateSchema) });

/** Parameters of `membership.compare`: hash of the sender's view. */
export const membershipCompareSchema = z.object({ from: z.string(), hash: z.string() });

/** Answer to `membership.compare`: whether both views are the same. */
export const membershipComparedSchema = z.object({ same: z.boolean() });
