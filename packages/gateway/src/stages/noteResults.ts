import type { Socket } from 'node:net';
import type { PieceAnswer, PieceItem } from '../ports.js';

/** Pieces by the handles of their results, as the answers on one connection named them. */
type KnownResults = Map<string, string>;

const resultsBySocket = new WeakMap<Socket, KnownResults>();

/** Handles that are kept for one connection; a repeated answer is a recent one. */
const MAX_RESULTS = 2_000;

const formatPiece = ({ requestId, stage, piece }: PieceItem): string => JSON.stringify([requestId, stage, piece]);

/**
 * Notes the results that an answer on a connection names. An answer to a call to a stage server bears no id, so an
 * answer that a server repeats later looks like the answer to the next call; its handles show that it is not.
 *
 * @param socket - connection on which the answer came
 * @param items - pieces of the call
 * @param answers - answers to them, in order
 * @returns false when the answer names the result of another piece, so that it belongs to another call
 */
export default function noteResults(
  socket: Socket,
  items: readonly PieceItem[],
  answers: readonly PieceAnswer[],
): boolean {
  const known = resultsBySocket.get(socket) ?? new Map<string, string>();
  resultsBySocket.set(socket, known);
  const named = items.flatMap((item, index): (readonly [string, string])[] => {
    const answer = answers[index];
    return answer?.type === 'done' ? [[answer.result, formatPiece(item)]] : [];
  });
  if (named.some(([result, piece]) => (known.get(result) ?? piece) !== piece)) {
    return false;
  }
  named.forEach(([result, piece]) => known.set(result, piece));
  [...known.keys()].slice(0, Math.max(0, known.size - MAX_RESULTS)).forEach((result) => known.delete(result));
  return true;
}
