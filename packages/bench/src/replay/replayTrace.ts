import findDifference from './findDifference.js';
import findReplayer from './findReplayer.js';
import type { ParsedTrace } from './parseTrace.js';
import type { ReplayResult } from './types.js';

/** Maps become objects and sets become lists, as they are written in a trace. */
const toPlain = (value: unknown): unknown =>
  JSON.parse(
    JSON.stringify(value, (_key, item: unknown) => {
      if (item instanceof Map) {
        return Object.fromEntries(item as Map<string, unknown>);
      }
      return item instanceof Set ? [...(item as Set<unknown>)] : item;
    }) ?? 'null',
  );

/**
 * Feeds a trace to its reducer and compares actions and final state with the stated ones.
 *
 * @param trace - the trace
 * @returns the differences; empty when the trace holds
 * @example
 * replayTrace(parseTrace(readFileSync(file, 'utf8'))).differences;
 */
export default function replayTrace(trace: ParsedTrace): ReplayResult {
  const replayer = findReplayer(trace.head.reducer);
  const differences: string[] = [];
  let state = replayer.start(trace.head.initial);
  trace.events.forEach(({ atMs, event, actions }, index) => {
    const step = replayer.advance(state, event, atMs);
    state = step.state;
    const difference = findDifference(actions, toPlain(step.actions), `event ${index} (${String(event.type)}) actions`);
    differences.push(...(difference === undefined ? [] : [difference]));
  });
  const difference = findDifference(trace.outcome, toPlain(state), 'outcome');
  differences.push(...(difference === undefined ? [] : [difference]));
  return { name: trace.head.name, events: trace.events.length, differences };
}
