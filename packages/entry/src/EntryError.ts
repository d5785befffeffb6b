import { LayerError } from '@bergamotcove/errors';

/** Failure inside the entry host. */
export default class EntryError extends LayerError<'start-failed' | 'internal'> {}
