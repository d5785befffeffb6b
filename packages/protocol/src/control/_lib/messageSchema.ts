import { z } from 'zod';
import type { DomainState, MemberState } from '../types.js';

/** Message types in the order of their encoded numbers; new types are appended. */
export const MESSAGE_TYPES = ['ping', 'ack', 'indirect-ping', 'relayed-ack', 'summary'] as const;

/** Member states in the order of their encoded numbers. */
export const MEMBER_STATES: readonly MemberState[] = ['alive', 'suspect', 'leaving', 'dead', 'left'];

/** Failure domain states in the order of their encoded numbers. */
export const DOMAIN_STATES: readonly DomainState[] = ['live', 'suspect', 'lost'];

const MAX_NAME_LENGTH = 64;
const MAX_PORT = 65_535;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const counterSchema = z.int().min(0);
const createEnumSchema = <Value>(values: readonly Value[]) =>
  z
    .int()
    .min(0)
    .max(values.length - 1)
    .transform((code) => values[code] as Value);

const addressSchema = z
  .tuple([nameSchema, nameSchema, z.int().min(0).max(MAX_PORT), nameSchema, nameSchema])
  .transform(([hostId, address, peersPort, failureDomain, region]) => ({
    hostId,
    address,
    peersPort,
    failureDomain,
    region,
  }));

const updateSchema = z
  .tuple([nameSchema, createEnumSchema(MEMBER_STATES), counterSchema, addressSchema.nullable()])
  .transform(([hostId, state, incarnation, host]) => ({
    hostId,
    state,
    incarnation,
    ...(host === null ? {} : { host }),
  }));

const domainSchema = z
  .tuple([nameSchema, createEnumSchema(DOMAIN_STATES), counterSchema])
  .transform(([failureDomain, state, version]) => ({ failureDomain, state, version }));

const headerFields = [
  counterSchema,
  counterSchema,
  createEnumSchema(MESSAGE_TYPES),
  counterSchema,
  addressSchema,
  counterSchema,
] as const;
const updatesSchema = z.array(updateSchema);
const extraSchema = z.array(z.unknown());

/** Version 1: `[version, highest version of the sender, type, sequence, from, incarnation, updates, extra]`. */
export const firstVersionSchema = z
  .tuple([...headerFields, updatesSchema, extraSchema])
  .transform(([, speaks, type, sequence, from, incarnation, updates, extra]) => ({
    speaks,
    type,
    extra,
    header: { sequence, from, incarnation, updates, domains: [], digest: '' },
  }));

/** Version 2 adds the failure domains and the digest of the documents. */
export const secondVersionSchema = z
  .tuple([...headerFields, updatesSchema, extraSchema, z.array(domainSchema), z.string().max(MAX_NAME_LENGTH)])
  .transform(([, speaks, type, sequence, from, incarnation, updates, extra, domains, digest]) => ({
    speaks,
    type,
    extra,
    header: { sequence, from, incarnation, updates, domains, digest },
  }));

/** Fields beyond the header, by message type. */
export const extraSchemas = {
  'indirect-ping': z.tuple([addressSchema]),
  'relayed-ack': z.tuple([nameSchema]),
  summary: z.tuple([nameSchema, z.instanceof(Uint8Array)]),
};
