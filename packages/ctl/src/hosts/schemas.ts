import { z } from 'zod';

/** Schemas of the answers of hosts. Fields of newer versions are kept and printed with `--json`. */

export const hostStatusSchema = z.looseObject({
  hostId: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  /** Failure domains whose servers get nothing new; sent by gateways. */
  evacuated: z.array(z.string()).optional(),
  ready: z.boolean(),
  draining: z.boolean(),
  inFlight: z.number(),
  entryHosts: z.array(z.string()),
  services: z.array(
    z.looseObject({
      service: z.string(),
      version: z.number(),
      stages: z.array(z.looseObject({ stage: z.string(), pool: z.string() })).optional(),
    }),
  ),
  pools: z
    .array(
      z.looseObject({
        pool: z.string(),
        servers: z.number(),
        running: z.number(),
        slots: z.number(),
        waiting: z.number(),
      }),
    )
    .optional(),
  configFindings: z
    .array(
      z.looseObject({
        type: z.string(),
        service: z.string(),
        inForce: z.number(),
        offered: z.number(),
        source: z.string(),
      }),
    )
    .optional(),
  lostDomains: z.array(z.string()).optional(),
  /** Latest era and revision of the store that a gateway knows; entry hosts send none. */
  store: z.looseObject({ era: z.number(), revision: z.number() }).optional(),
});

export const poisonListSchema = z.array(z.looseObject({ fingerprint: z.string(), remainingMs: z.number() }));

export const limitListSchema = z.array(
  z.looseObject({
    serverId: z.string(),
    pool: z.string(),
    requestsPerSecond: z.number(),
    sinceMs: z.number(),
    learntFrom: z.string(),
    handsOut: z.boolean(),
    sends: z.number(),
  }),
);

export const releaseAnswerSchema = z.looseObject({ released: z.boolean() });

export const drainAnswerSchema = z.looseObject({ draining: z.boolean() });

export const spanSchema = z.looseObject({
  traceId: z.string(),
  spanId: z.string(),
  parentSpanId: z.string().optional(),
  name: z.string(),
  startMs: z.number(),
  durationMs: z.number(),
  ok: z.boolean(),
  attributes: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** Status of one host. */
export type HostStatusAnswer = z.output<typeof hostStatusSchema>;

/** One finished span. */
export type SpanAnswer = z.output<typeof spanSchema>;
