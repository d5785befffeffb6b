import { TOKENS_PER_ANSWER } from './constants.js';
import type { CallerReply, CallerToken } from './sendCallerRequest.js';
import type { CellOutcome, OperationName } from './types.js';

/** Converts the end of a request to an outcome of the matrix. */
export function toOutcome(reply: CallerReply): CellOutcome {
  switch (reply.end.type) {
    case 'answered':
      return 'answered';
    case 'refused':
      return reply.end.outcome;
    default:
      return 'broken';
  }
}

const formatTokens = (marker: string): readonly string[] =>
  Array.from({ length: TOKENS_PER_ANSWER }, (_, index) => `${marker}#${index} `);

const checkText = (text: string | undefined, marker: string): readonly string[] =>
  text === formatTokens(marker).join('') ? [] : [`the text is not the whole answer to ${marker}: ${text}`];

const checkCallOutput = (output: unknown, marker: string): readonly string[] => {
  const { echo } = output as { readonly echo?: string };
  return echo === marker ? [] : [`the answer carries ${echo} instead of ${marker}`];
};

/**
 * Checks that each token came once, in order and with the text of its request.
 *
 * @param tokens - tokens in the order of arrival, over all parts of the stream
 * @param marker - marker of the request
 * @returns violations
 */
export function checkTokens(tokens: readonly CallerToken[], marker: string): readonly string[] {
  const expected = formatTokens(marker);
  const wrong = tokens.findIndex(({ index, text }, position) => index !== position || text !== expected[position]);
  return wrong === -1 ? [] : [`token ${wrong} of the stream is ${JSON.stringify(tokens[wrong])}`];
}

/**
 * Checks that the answer is whole, belongs to its request and came in time.
 *
 * @param reply - reply that the caller received
 * @param options - the request; `mayBreak` when its host was crashed or paused
 * @returns violations
 */
export default function checkReply(
  reply: CallerReply,
  options: { readonly operation: OperationName; readonly marker: string; readonly mayBreak: boolean },
): readonly string[] {
  const { end } = reply;
  const { marker } = options;
  switch (end.type) {
    case 'answered':
      return options.operation === 'explain'
        ? checkText((end.output as { readonly text?: string }).text, marker)
        : checkCallOutput(end.output, marker);
    case 'malformed':
      return [`the answer has no outcome: ${end.body}`];
    case 'overdue':
      return options.mayBreak ? [] : [`no answer after ${Math.round(reply.elapsedMs)} ms`];
    case 'broken':
      return options.mayBreak ? [] : [`the connection broke after ${Math.round(reply.elapsedMs)} ms`];
    default:
      return [];
  }
}
