/** Memory that is reserved for one body while it is held. */
export interface AnswerMemoryShare {
  readonly sizeBytes: number;
  /** Reserves more memory. False when the budget is exceeded; the body must be abandoned then. */
  reserve(bytes: number): boolean;
  /** Frees all memory of the body. Further calls do nothing. */
  close(): void;
}

/** Memory budget of the bodies that a host holds at the same time. */
export interface AnswerMemory {
  open(): AnswerMemoryShare;
}

/** Budget of all answers together. */
const ANSWERS_BYTES = 32 * 1_048_576;
/** Bodies up to this size are accepted even when large ones have used up the budget. */
const GUARANTEED_BYTES = 65_536;

/**
 * Creates the memory budget of the bodies of one kind on one host: answers, which servers can send without end, or
 * requests. A body that exceeds the budget is abandoned.
 *
 * @param options - budget of all bodies together; by default that of answers
 * @returns the budget, with nothing reserved
 */
export default function createAnswerMemory({ totalBytes = ANSWERS_BYTES } = {}): AnswerMemory {
  let reservedBytes = 0;
  return {
    open: () => {
      let sizeBytes = 0;
      return {
        get sizeBytes() {
          return sizeBytes;
        },
        reserve: (bytes) => {
          sizeBytes += bytes;
          reservedBytes += bytes;
          return sizeBytes <= GUARANTEED_BYTES || reservedBytes <= totalBytes;
        },
        close: () => {
          reservedBytes -= sizeBytes;
          sizeBytes = 0;
        },
      };
    },
  };
}
