import * as z from 'zod/mini';
import type { Target } from '@bergamotcove/transport';

const MS_PER_SECOND = 1_000;

const ADDRESS = /^([\d.]+):(\d+)$/;

/** `IP:PORT`. */
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
  /** What this host has; hosts with more take more of the duties. */
  resources: z.pipe(
    z.object({ cpuShare: z.number(), coreSpeed: z.number(), linkMbps: z.number() }),
    z.transform(({ cpuShare, coreSpeed, linkMbps }) => ({ cores: cpuShare * coreSpeed, linkMbps })),
  ),
  /** Where callers connect. */
  callers: targetSchema,
  /** Where the balancer asks whether this host takes requests. */
  health: targetSchema,
  /** First and last port that hosts may use among themselves. */
  peerPorts: z.tuple([z.number(), z.number()]),
  metrics: z.object({ port: z.number(), path: z.string() }),
  store: targetSchema,
  /** Limit of repeated sends of the whole fleet to one pool. */
  retries: z.object({ ratio: z.number(), slack: z.number(), windowSeconds: z.number() }),
  /** Time from the signal to stop until the process is killed. */
  stop: z.object({ graceSeconds: z.number() }),
});

/** Settings of a gateway host. */
export interface GatewaySettings extends Omit<z.infer<typeof settingsSchema>, 'retries' | 'stop'> {
  readonly retries: { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  readonly stop: { readonly graceMs: number };
}

/**
 * Checks settings.
 *
 * @param value - parsed settings file
 * @returns the settings, with times in milliseconds
 * @throws ZodError that names the wrong field
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
