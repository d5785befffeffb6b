import type { Outcome, RequestState } from '../types.js';

/**
 * Returns what is known about the effect of a request that ends without an answer. `not-run` needs proof: no `once`
 * stage has answered, and each attempt of such a stage either was never sent or was refused by its server as not
 * executed. While another request holds the key, that request may have run the call.
 */
export default function readOutcome(state: RequestState): Outcome {
  const { stages } = state.plan;
  const answered = state.outputs.some(({ stage }) =>
    stages.some((planned) => planned.name === stage && planned.effect === 'once'),
  );
  if (answered) {
    return 'ran';
  }
  const sent = state.attempts.some(
    (attempt) => attempt.status === 'sent' && stages[attempt.stageIndex]?.effect === 'once',
  );
  return sent || state.mayHaveRun || state.contended ? 'unknown' : 'not-run';
}
