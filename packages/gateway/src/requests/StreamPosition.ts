import type { StreamEvent } from './createEventSplitter.js';

/**
 * Position of a caller in one stream, over all answers from which its events come. Ids increase within an answer and
 * may have gaps; an answer that goes on with a stream starts with the next id, so that no event is missing.
 */
export default class StreamPosition {
  /** Whether no event of the current answer was passed on. */
  private isNewAnswer = true;

  /** Whether the last event that the caller has bears no id. */
  private isUnnumbered = false;

  /** Whether it is not known what the caller has. */
  private isLost = false;

  /** @param last - id of the last event that the caller already has; undefined for a new stream */
  constructor(private last?: string) {}

  /** Id of the last event that the caller has. */
  get lastEventId(): string | undefined {
    return this.last;
  }

  /** Whether another answer can go on with the stream. */
  get canContinue(): boolean {
    return !this.isUnnumbered && !this.isLost;
  }

  /** Gives the position up, because it is not known which events were passed on; none follows any more. */
  lose(): void {
    this.isLost = true;
  }

  /** Starts the events of another answer. */
  beginAnswer(): void {
    this.isNewAnswer = true;
  }

  /** Moves past the events that follow, in order; returns the first event that does not. */
  advance(events: readonly StreamEvent[]): StreamEvent | undefined {
    return events.find(({ id }) => {
      const follows = this.follows(id);
      if (follows) {
        this.last = id ?? this.last;
        this.isUnnumbered = id === undefined;
        this.isNewAnswer = false;
      }
      return !follows;
    });
  }

  private follows(id: string | undefined): boolean {
    const { last } = this;
    if (this.isLost) {
      return false;
    }
    // Ids are compared as text too: beyond 2^53, consecutive ids convert to the same number.
    const isOther = id !== last;
    if (this.isNewAnswer) {
      return !this.isUnnumbered && (last === undefined || (isOther && Number(id) === Number(last) + 1));
    }
    return id === undefined || (isOther && !(Number(id) < Number(last)));
  }
}
