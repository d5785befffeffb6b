import { z } from 'zod';
import { ConfigError, parseWith, type FieldProblem } from '@bergamotcove/config';
import CallerError from './CallerError.js';
import type { CallerRequest } from './types.js';

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_CHARS = 255;
const STATUS_BAD_REQUEST = 400;

const bodySchema = z.strictObject({
  organisation: z.string().min(1).max(200),
  operation: z.string().min(1).max(63),
  input: z.unknown().refine((value) => value !== undefined, 'expected a value'),
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS).optional(),
  stream: z.boolean().default(false),
});

/** The published draft of the idempotency key header writes the key as a quoted string; bare keys are accepted too. */
const keySchema = z
  .string()
  .transform((value) => value.replace(/^"(.*)"$/, '$1'))
  .refine((value) => value.length > 0 && value.length <= MAX_KEY_CHARS, `expected 1 to ${MAX_KEY_CHARS} characters`);

const headerSchema = z.object({
  'idempotency-key': keySchema.optional(),
  'last-event-id': z
    .string()
    .regex(/^\d{1,9}$/, 'expected the number of the last event')
    .transform(Number)
    .optional(),
  traceparent: z.string().optional(),
});

/** Headers of a request; unknown ones are ignored. */
export type RequestHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

const rejectFields = (problems: readonly FieldProblem[], cause: unknown): never => {
  throw new CallerError(
    'wrong-input',
    {
      type: 'about:blank',
      title: 'the request has wrong fields',
      status: STATUS_BAD_REQUEST,
      outcome: 'not-run',
      errors: problems,
    },
    cause,
  );
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    return rejectFields([{ path: '', message: 'expected a JSON object; the body is not JSON' }], cause);
  }
};

const parseFields = <Schema extends z.ZodType>(schema: Schema, value: unknown, source: string): z.output<Schema> => {
  try {
    return parseWith(schema, value, { source });
  } catch (cause) {
    return rejectFields(cause instanceof ConfigError ? cause.problems : [], cause);
  }
};

/**
 * Parses and checks the body and headers of a caller's request.
 *
 * @param service - service name from the path
 * @param bodyText - request body
 * @param headers - request headers, names in lower case
 * @returns the checked request
 * @throws CallerError with the path of each wrong field
 * @example
 * parseCallerRequest('clerk', text, request.headers);
 */
export default function parseCallerRequest(service: string, bodyText: string, headers: RequestHeaders): CallerRequest {
  const body = parseFields(bodySchema, parseJson(bodyText), 'body');
  const knownHeaders = parseFields(headerSchema, headers, 'headers');
  return {
    service,
    ...body,
    ...(knownHeaders['idempotency-key'] === undefined ? {} : { idempotencyKey: knownHeaders['idempotency-key'] }),
    ...(knownHeaders['last-event-id'] === undefined ? {} : { lastEventId: knownHeaders['last-event-id'] }),
    ...(knownHeaders.traceparent === undefined ? {} : { traceparent: knownHeaders.traceparent }),
  };
}
