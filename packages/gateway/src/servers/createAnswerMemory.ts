/** Memory that is reserved for one answer while it is read. */
export interface AnswerMemoryShare {
  readonly sizeBytes: number;
  /** Reserves memory for a chunk. False when the budget is exceeded; the answer must be abandoned then. */
  reserve(bytes: number): boolean;
  /** Frees all memory of the answer. Further calls do nothing. */
  close(): void;
}

/** Memory budget of the answers that a host reads at the same time. */
export interface AnswerMemory {
  open(): AnswerMemoryShare;
}

/** Budget of all answers together. */
const TOTAL_BYTES = 32 * 1_048_576;
/** Answers up to this size are accepted even when large ones have used up the budget. */
const GUARANTEED_BYTES = 65_536;

/**
 * Creates the memory budget of the answers of one host. It limits the memory that servers can fill by sending endless
 * bodies: an answer that exceeds the budget is abandoned.
 *
 * @returns the budget, with nothing reserved
 */
export default function createAnswerMemory(): AnswerMemory {
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
          return sizeBytes <= GUARANTEED_BYTES || reservedBytes <= TOTAL_BYTES;
        },
        close: () => {
          reservedBytes -= sizeBytes;
          sizeBytes = 0;
        },
      };
    },
  };
}
