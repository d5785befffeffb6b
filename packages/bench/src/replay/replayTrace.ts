import findDifference from './findDifference.js';
import findReplayer from './findReplayer.js';
import type { ParsedTrace } from './parseTrace.js';
import type { ReplayResult } from './types.js';

/** Converts maps to objects and sets to lists, as a trace records them. */
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
 * Feeds the events of a trace to its reducer and compares the actions and the final state with the expected ones.
 *
 * @param trace - the parsed trace
 * @returns the differences; empty when the replay matches the trace
 * @example
 * replayTrace(parseTrace(readFileSync(file, 'utf8'))).differences;
 */
export default function replayTrace(trace: ParsedTrace): ReplayResult {
  const replayer = findReplayer(trace.header.reducer);
  const differences: string[] = [];
  let state = replayer.start(trace.header.initial);
  trace.events.forEach(({ atMs, event, actions }, index) => {
    const step = replayer.advance(state, event, atMs);
    state = step.state;
    const difference = findDifference(actions, toPlain(step.actions), `event ${index} (${String(event.type)}) actions`);
    differences.push(...(difference === undefined ? [] : [difference]));
  });
  const difference = findDifference(trace.outcome, toPlain(state), 'outcome');
  differences.push(...(difference === undefined ? [] : [difference]));
  return { name: trace.header.name, events: trace.events.length, differences };
}
