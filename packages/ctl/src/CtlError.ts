import { LayerError } from '@bergamotcove/errors';

/** Failure of a command: wrong arguments, a missing item, an unreachable host or an invalid answer. */
export default class CtlError extends LayerError<'usage' | 'not-found' | 'unreachable' | 'invalid-answer'> {}
