import { LayerError } from '@bergamotcove/errors';
import type { Problem } from './types.js';

/** Rejection of a request before it starts; the caller gets its problem document as the response. */
export default class CallerError extends LayerError<'wrong-input' | 'not-found' | 'conflict' | 'not-ready'> {
  readonly problem: Problem;

  constructor(code: 'wrong-input' | 'not-found' | 'conflict' | 'not-ready', problem: Problem, cause?: unknown) {
    super(code, problem.title, { cause });
    this.problem = problem;
  }
}
