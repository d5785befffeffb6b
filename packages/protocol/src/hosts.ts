import { z } from 'zod';

/** Entries of the platform's host list and their exchange between entry hosts. */

/** One entry of the host list. */
export const listedHostSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  address: z.string(),
  port: z.number(),
  /** Port for peer messages; entry hosts only. */
  peerPort: z.number().optional(),
  /** Pool of a backend server. */
  pool: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** One entry of the host list. */
export type ListedHost = Readonly<z.output<typeof listedHostSchema>>;

/** Parameters of `hosts.changed`: the result of one read of the host list. */
export const hostsChangedSchema = z.object({
  from: z.string(),
  /** Revision before the change; the same as `revision` when nothing changed. */
  before: z.int(),
  revision: z.int(),
  /** Entity tag of the list at `revision`, for conditional reads. */
  etag: z.string().optional(),
  /** New and changed entries. */
  changed: z.array(listedHostSchema),
  /** Ids of removed entries. */
  removed: z.array(z.string()),
});

/** Parameters of `hosts.changed`. */
export type HostsChanged = Readonly<z.output<typeof hostsChangedSchema>>;
