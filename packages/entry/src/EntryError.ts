import { LayerError } from '@bergamotcove/errors';

/** Error of the entry host itself. */
export default class EntryError extends LayerError<'start-failed' | 'internal'> {}
