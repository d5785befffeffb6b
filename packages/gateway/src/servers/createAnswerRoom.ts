/** Memory that one answer takes up while it is read. */
export interface AnswerMemoryShare {
  readonly sizeBytes: number;
  /** Takes memory for a part; false when there is none. */
  reserve(bytes: number): boolean;
  /** Gives all of it back. */
  close(): void;
}

/** Memory for the answers that are being read. */
export interface AnswerMemory {
  open(): AnswerMemoryShare;
}

/** What all answers together may take up. */
const TOTAL_BYTES = 32 * 1_048_576;
/** Answers up to this size find room however many large ones are being read. */
const GUARANTEED_BYTES = 65_536;

/**
 * Creates the memory for answers of one host. Servers that send bodies without end fill it, and not the memory of the
 * process: an answer that finds no room is given up.
 *
 * @returns the room, with nothing taken
 */
export default function createAnswerRoom(): AnswerMemory {
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
