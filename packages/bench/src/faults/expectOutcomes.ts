import type { CellOutcome, Fault, Injection, OperationName, Step, Variant } from './types.js';

/** Steps after which the `once` call may have been sent. */
const CALL_STEPS: readonly Step[] = ['claim', 'send-call', 'resend'];

/** Faults after which a sent attempt may or may not have run. */
const UNCERTAIN_FAULTS: readonly Fault[] = ['server-crash', 'reset', 'reply-lost', 'swapped', 'poison'];

/** Faults that prevent the first host from writing claims, temporarily or until the end of the run. */
const STORE_CUTS: readonly Fault[] = ['store-down', 'cut-store', 'one-way-cut'];

/** Steps before the host looks up the key; without the store it then cannot know of an earlier request. */
const STEPS_BEFORE_LOOK_UP: readonly Step[] = ['accept', 'parse'];

const STEPS_AFTER_CLAIM: readonly Step[] = ['send-call', 'record', 'answer'];

/** Faults that lose the host: a crash ends the caller's connection, and a pause outlasts the deadline. */
const HOST_LOSSES: readonly Fault[] = ['entry-crash', 'pause'];

const expectOfExplain = ({ step, fault }: Injection): readonly CellOutcome[] => {
  if (HOST_LOSSES.includes(fault)) {
    return step === 'resend' ? ['answered'] : ['answered', 'broken'];
  }
  // A lost reply can be noticed only by waiting; a hedge or the deadline ends the wait.
  if (fault === 'reply-lost') {
    return ['answered', 'not-run'];
  }
  return fault === 'poison' ? ['answered', 'not-run'] : ['answered'];
};

const expectOfResentCall = (fault: Fault): readonly CellOutcome[] => {
  if (HOST_LOSSES.includes(fault) || UNCERTAIN_FAULTS.includes(fault)) {
    return ['answered', 'unknown', 'ran'];
  }
  // Only the claiming host knows the outcome until its record is durable and can be read.
  return STORE_CUTS.includes(fault) ? ['answered', 'unknown'] : ['answered'];
};

/** A cut while the call is under way hides whether it ran; before the call is sent, another server can be asked. */
const hidesSentCall = ({ step, fault }: Injection): boolean =>
  fault === 'cut-domain' && (step === 'send-call' || step === 'resend');

const expectOfPost = (injection: Injection): readonly CellOutcome[] => {
  const { step, fault } = injection;
  if (hidesSentCall(injection)) {
    return ['answered', 'unknown'];
  }
  if (step === 'resend') {
    return expectOfResentCall(fault);
  }
  if (HOST_LOSSES.includes(fault)) {
    return ['answered', 'broken'];
  }
  if (STORE_CUTS.includes(fault)) {
    if (STEPS_BEFORE_LOOK_UP.includes(step)) {
      return ['answered', 'not-run', 'unknown'];
    }
    return STEPS_AFTER_CLAIM.includes(step) ? ['answered'] : ['answered', 'not-run'];
  }
  if (UNCERTAIN_FAULTS.includes(fault)) {
    if (CALL_STEPS.includes(step)) {
      return ['answered', 'unknown'];
    }
    return step === 'record' || step === 'answer' ? ['answered'] : expectOfExplain(injection);
  }
  return ['answered'];
};

const addVariant = (allowed: readonly CellOutcome[], variant: Variant): readonly CellOutcome[] => {
  if (variant === 'plain' || !allowed.includes('unknown')) {
    return allowed;
  }
  // A status query or the servers' own key checks resolve outcomes that would otherwise stay unknown.
  return [...new Set<CellOutcome>([...allowed, 'answered', 'not-run', 'ran'])];
};

/** Two faults may disable both servers of a pool or crash the host that holds a claim. */
const addPair = (allowed: readonly CellOutcome[], operation: OperationName): readonly CellOutcome[] => [
  ...new Set<CellOutcome>([
    ...allowed,
    'not-run',
    ...(operation === 'post-entry' ? (['unknown', 'ran'] as const) : []),
  ]),
];

/**
 * Returns the allowed outcomes of a request under the given faults. The run also checks `not-run` and the answers
 * against the execution counts, so a wider set here never allows a false outcome.
 *
 * @param operation - operation of the request
 * @param injections - faults and their steps
 * @returns the allowed outcomes of the request
 */
export default function expectOutcomes(
  operation: OperationName,
  injections: readonly Injection[],
): readonly CellOutcome[] {
  const expectOne = operation === 'explain' ? expectOfExplain : expectOfPost;
  const union = [...new Set(injections.flatMap(expectOne))];
  return injections.length > 1 ? addPair(union, operation) : union;
}

/**
 * Extends the allowed outcomes for a deployment whose servers resolve unknown outcomes.
 *
 * @param allowed - outcomes allowed with plain servers
 * @param variant - how the servers treat idempotency keys
 * @returns the allowed outcomes
 */
export function expectVariant(allowed: readonly CellOutcome[], variant: Variant): readonly CellOutcome[] {
  return addVariant(allowed, variant);
}
