import * as z from 'zod/mini';
import type { Target } from '@bergamotcove/transport';

const MS_PER_SECOND = 1_000;

const ADDRESS = /^([\d.]+):(\d+)$/;

/** Address of the form `IP:PORT`. */
const targetSchema = z.pipe(
  z.string().check(z.regex(ADDRESS)),
  z.transform((text): Target => {
    const [, address = '', port] = ADDRESS.exec(text) ?? [];
    return { address, port: Number(port) };
  }),
);

/** Schema of the settings file of a gateway host. */
const settingsSchema = z.object({
  host: z.object({
    id: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    /** Region of each failure domain. */
    regions: z.record(z.string(), z.string()),
  }),
  /** Resources of this host; hosts with more of them own more duties. */
  resources: z.pipe(
    z.object({
      cpuShare: z.number(),
      coreSpeed: z.number(),
      linkMbps: z.number(),
      /** By default, the memory of the system and 4,096 descriptors. */
      memoryMb: z.optional(z.number()),
      maxDescriptors: z.optional(z.number()),
    }),
    z.transform(({ cpuShare, coreSpeed, ...others }) => ({ cores: cpuShare * coreSpeed, ...others })),
  ),
  /** Address on which callers connect. */
  callers: targetSchema,
  /** Limits of callers' connections in place of the defaults. */
  callerConnections: z.optional(
    z.object({
      maxConnections: z.optional(z.number()),
      maxHeldMb: z.optional(z.number()),
      maxOpenRequests: z.optional(z.number()),
      stallSeconds: z.optional(z.number()),
    }),
  ),
  /** Address of the health check of the load balancer, which fails while this host takes no requests. */
  health: targetSchema,
  /** First and last port of the range for links between hosts. */
  peerPorts: z.tuple([z.number(), z.number()]),
  metrics: z.object({ port: z.number(), path: z.string() }),
  store: targetSchema,
  /** Retry budget of the whole fleet for one pool. */
  retries: z.object({ ratio: z.number(), slack: z.number(), windowSeconds: z.number() }),
  /** Bound on the requests to a cold server in one second: its rate times `overage`, and `slack`. */
  coldStart: z.optional(z.object({ overage: z.number(), slack: z.number() })),
  /** Grace period: time from the stop signal until the process is killed. */
  stop: z.object({ graceSeconds: z.number() }),
});

/** Settings of a gateway host. */
export interface GatewaySettings extends Omit<z.infer<typeof settingsSchema>, 'retries' | 'stop'> {
  readonly retries: { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  readonly stop: { readonly graceMs: number };
}

/**
 * Validates settings.
 *
 * @param value - parsed settings file
 * @returns the settings, with times in milliseconds
 * @throws ZodError that names the invalid field
 */
export default function parseGatewaySettings(value: unknown): GatewaySettings {
  const { retries, stop, ...settings } = settingsSchema.parse(value);
  const { ratio, slack, windowSeconds } = retries;
  return {
    ...settings,
    retries: { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND },
    stop: { graceMs: stop.graceSeconds * MS_PER_SECOND },
  };
}
