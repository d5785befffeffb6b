/** Service documents and settings: schemas, checks and store keys. */
export * from './types.js';
export * from './constants.js';
export { default as ConfigError } from './ConfigError.js';
export type { FieldProblem } from './ConfigError.js';
export { default as parseWith } from './parseWith.js';
export { parseAcceptedDocument, parseServiceDocument } from './parseServiceDocument.js';
export { default as readSettings, readJsonFile } from './readSettings.js';
export { default as formatVersionKey } from './formatVersionKey.js';
export { acceptedDocumentSchema, serviceDocumentSchema } from './serviceDocumentSchema.js';
export { settingsSchema } from './settingsSchema.js';
export type { Difference } from './diff/types.js';
export { default as diffDocuments } from './diff/diffDocuments.js';
export { default as formatDifference } from './diff/formatDifference.js';
export type { AcceptanceBase, AcceptanceOutcome, AcceptancePlan, AcceptanceRequest } from './acceptance/types.js';
export { default as planAcceptance } from './acceptance/planAcceptance.js';
export { default as settleAcceptance } from './acceptance/settleAcceptance.js';
export type { AcceptanceEvidence } from './acceptance/settleAcceptance.js';
