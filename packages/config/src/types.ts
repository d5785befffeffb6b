import type { z } from 'zod';
import type {
  acceptedDocumentSchema,
  operationSchema,
  organisationLimitSchema,
  serviceDocumentSchema,
  stageSchema,
} from './serviceDocumentSchema.js';
import type { settingsSchema } from './settingsSchema.js';

type DeepReadonly<Value> = Value extends (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : Value extends object
    ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> }
    : Value;

/** One stage of a pipeline. */
export type StageSpec = DeepReadonly<z.output<typeof stageSchema>>;

/** One operation of a service. */
export type OperationSpec = DeepReadonly<z.output<typeof operationSchema>>;

/** Limits of one organisation. */
export type OrganisationLimit = DeepReadonly<z.output<typeof organisationLimitSchema>>;

/** A service document as operators write it. */
export type ServiceDocument = DeepReadonly<z.output<typeof serviceDocumentSchema>>;

/** A document version as it is stored. */
export type AcceptedDocument = DeepReadonly<z.output<typeof acceptedDocumentSchema>>;

/** Settings of an entry host. */
export type Settings = DeepReadonly<z.output<typeof settingsSchema>>;
