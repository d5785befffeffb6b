import type { CommandSpec } from '../types.js';
import apply from './apply.js';
import diff from './diff.js';
import drain from './drain.js';
import explain from './explain.js';
import get from './get.js';
import history from './history.js';
import limits from './limits.js';
import poison from './poison.js';
import release from './release.js';
import rollback from './rollback.js';
import status from './status.js';
import trace from './trace.js';
import validate from './validate.js';

/** Every command, in the order of the help text. */
const COMMANDS: readonly CommandSpec[] = [
  validate,
  apply,
  get,
  diff,
  history,
  rollback,
  status,
  drain,
  trace,
  explain,
  poison,
  release,
  limits,
];

export default COMMANDS;
