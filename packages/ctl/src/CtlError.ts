import { LayerError } from '@bergamotcove/errors';

/** Failure of a command: wrong arguments, or something that was asked for and does not exist. */
export default class CtlError extends LayerError<'usage' | 'not-found' | 'unreachable' | 'invalid-answer'> {}
