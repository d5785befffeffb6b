import { z } from 'zod';
import { serviceDocumentSchema } from './serviceDocumentSchema.js';
import { settingsSchema } from './settingsSchema.js';

/** One committed JSON Schema. */
export interface SchemaFile {
  /** Name of the file under `schemas/`. */
  readonly name: string;
  readonly schema: object;
}

const toSchema = (schema: z.ZodType, title: string): object => ({
  title,
  ...z.toJSONSchema(schema, { io: 'input' }),
});

/**
 * Builds the JSON Schemas of the files that operators write, for editors. The schemas do not express the checks across
 * fields, such as unique stage names; `bergamotctl validate` runs all checks.
 *
 * @returns the schemas with their file names
 */
export default function formatJsonSchemas(): readonly SchemaFile[] {
  return [
    {
      name: 'service-document.schema.json',
      schema: toSchema(serviceDocumentSchema, 'Service document of bergamotcove'),
    },
    { name: 'settings.schema.json', schema: toSchema(settingsSchema, 'Settings of bergamotd') },
  ];
}
