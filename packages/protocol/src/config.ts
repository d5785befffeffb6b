import { z } from 'zod';

/** Exchange of service documents between entry hosts. */

const versionSchema = z.object({
  service: z.string().min(1),
  version: z.int().min(1),
  /** Hash of the accepted content. */
  hash: z.string().min(1),
});

const documentSchema = versionSchema.extend({
  /** The accepted document as JSON text, as it is stored. */
  text: z.string(),
});

/** Version of one document, without its content. */
export type DocumentVersion = Readonly<z.output<typeof versionSchema>>;

/** A document with its version. */
export type VersionedDocument = Readonly<z.output<typeof documentSchema>>;

/** Parameters of `config.push`: documents that the receiver may lack. */
export const configPushSchema = z.object({ from: z.string(), documents: z.array(documentSchema) });

/** Parameters of `config.offer`: versions that the receiver may pull. */
export const configOfferSchema = z.object({ from: z.string(), versions: z.array(versionSchema) });

/** Parameters of `config.pull`: versions that the requesting host holds, of all or only of the named services. */
export const configPullSchema = z.object({
  from: z.string(),
  versions: z.array(versionSchema),
  services: z.array(z.string()).optional(),
});

/** Answer to `config.pull`. */
export const configPullAnswerSchema = z.object({
  /** Documents that are newer at the answering host, and those of the same version with another hash. */
  documents: z.array(documentSchema),
  /** Services of which the requesting host holds a newer version. */
  wanted: z.array(z.string()),
  /** Whether the answering host knows the heads of all documents itself. */
  learnt: z.boolean(),
});

/** Answer to `config.pull`. */
export type ConfigPullAnswer = Readonly<z.output<typeof configPullAnswerSchema>>;
