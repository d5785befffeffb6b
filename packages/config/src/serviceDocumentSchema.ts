import { z } from 'zod';

const MIN_STAGES = 3;
const MAX_STAGES = 6;
// Largest time that a Date can represent.
const MAX_TIME_MS = 8.64e15;

const nameSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected a name of lower-case letters, digits and hyphens');

/** One stage of a pipeline. */
export const stageSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']),
  /** Pool of backend servers that run the stage. */
  pool: nameSchema,
  /** A `once` stage must not be repeated, for instance a payment posting. */
  effect: z.enum(['repeatable', 'once']).default('repeatable'),
  /** Whether the pool's servers reject orders with an outdated fencing number. */
  serversCheckFencing: z.boolean().default(false),
  /** Whether the pool's servers themselves run each idempotency key at most once. */
  serversCheckKeys: z.boolean().default(false),
  /** Whether the pool's servers can be asked whether they have run a given key. */
  statusQuery: z.boolean().default(false),
  /** Model of a generation stage. */
  model: nameSchema.optional(),
  /** Version of the model that engines should load; any version is suitable when absent. */
  modelVersion: z.string().min(1).optional(),
  /** Adapters that engines should load in addition to the model. */
  adapters: z.array(nameSchema).optional(),
});

/** One operation of a service. */
export const operationSchema = z.strictObject({
  name: nameSchema,
  idempotent: z.boolean(),
  priority: z.enum(['money', 'booking', 'interactive', 'draft']),
  /** Names of the stages that the operation runs, in order; all stages by default. */
  stages: z.array(nameSchema).min(1).optional(),
  expectedOutputTokens: z.int().min(0).default(64),
  /** Requests that are expected to generate more tokens than this are treated as long. */
  longOutputTokens: z.int().min(1).default(512),
});

/** Limits of one organisation. */
export const organisationLimitSchema = z.strictObject({
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  weight: z.number().positive().default(1),
});

const baseSchema = z.strictObject({
  service: nameSchema,
  team: z.string().min(1),
  deadlineMs: z.int().min(50).max(600_000),
  stages: z.array(stageSchema).min(MIN_STAGES).max(MAX_STAGES),
  operations: z.array(operationSchema).min(1),
  organisations: z.strictObject({
    default: organisationLimitSchema,
    overrides: z.record(z.string(), organisationLimitSchema).default({}),
  }),
  retry: z
    .strictObject({ budgetRatio: z.number().min(0).max(1), maxAttempts: z.int().min(1).max(10) })
    .default({ budgetRatio: 0.1, maxAttempts: 3 }),
  hedge: z
    .strictObject({ quantile: z.number().min(0.5).max(0.999), maxRatio: z.number().min(0).max(0.5) })
    .default({ quantile: 0.95, maxRatio: 0.02 }),
  crossRegion: z
    .strictObject({ allowed: z.boolean(), bytesPerSecond: z.int().min(0) })
    .default({ allowed: true, bytesPerSecond: 1_000_000 }),
});

type ParsedDocument = z.output<typeof baseSchema>;

const findDuplicate = (names: readonly string[]): string | undefined =>
  names.find((name, index) => names.indexOf(name) !== index);

const checkStages = (document: ParsedDocument, context: z.RefinementCtx): void => {
  const duplicate = findDuplicate(document.stages.map((stage) => stage.name));
  if (duplicate !== undefined) {
    context.addIssue({
      code: 'custom',
      path: ['stages'],
      message: `expected unique stage names, "${duplicate}" is repeated`,
    });
  }
  document.stages.forEach((stage, index) => {
    if (stage.effect === 'once' && stage.kind !== 'call') {
      context.addIssue({
        code: 'custom',
        path: ['stages', index, 'effect'],
        message: 'expected "repeatable", because only a call stage may be "once"',
      });
    }
  });
};

const checkOperation = (document: ParsedDocument, index: number, context: z.RefinementCtx): void => {
  const operation = document.operations[index] as ParsedDocument['operations'][number];
  const known = document.stages.map((stage) => stage.name);
  const used = operation.stages ?? known;
  const unknown = used.find((name) => !known.includes(name));
  if (unknown !== undefined) {
    context.addIssue({
      code: 'custom',
      path: ['operations', index, 'stages'],
      message: `expected names of stages of this document, "${unknown}" is not one`,
    });
  }
  const onceCount = document.stages.filter((stage) => stage.effect === 'once' && used.includes(stage.name)).length;
  if (operation.idempotent !== (onceCount === 0) || onceCount > 1) {
    context.addIssue({
      code: 'custom',
      path: ['operations', index, 'idempotent'],
      message: `expected ${onceCount === 0} because the operation runs ${onceCount} "once" stages (at most 1)`,
    });
  }
};

const checkOperations = (document: ParsedDocument, context: z.RefinementCtx): void => {
  const duplicate = findDuplicate(document.operations.map((operation) => operation.name));
  if (duplicate !== undefined) {
    context.addIssue({
      code: 'custom',
      path: ['operations'],
      message: `expected unique operation names, "${duplicate}" is repeated`,
    });
  }
  document.operations.forEach((_, index) => checkOperation(document, index, context));
};

/** Schema of a service document as operators write it. */
export const serviceDocumentSchema = baseSchema.superRefine((document, context) => {
  checkStages(document, context);
  checkOperations(document, context);
});

/** Schema of an accepted document as it is stored. */
export const acceptedDocumentSchema = z.strictObject({
  document: serviceDocumentSchema,
  version: z.int().min(1),
  /** Random id of the accepting write; it tells whether the write took effect when the reply of the store was lost. */
  changeId: z.string().min(1),
  acceptedBy: z.string(),
  acceptedAtMs: z.number().min(0).max(MAX_TIME_MS),
});
