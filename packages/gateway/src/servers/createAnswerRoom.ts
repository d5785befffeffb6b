/** Memory that one answer takes up while it is read. */
export interface AnswerShare {
  readonly sizeBytes: number;
  /** Takes memory for a part; false when there is none. */
  take(bytes: number): boolean;
  /** Gives all of it back. */
  close(): void;
}

/** Memory for the answers that are being read. */
export interface AnswerRoom {
  open(): AnswerShare;
}

/** What all answers together may take up. */
const ROOM_BYTES = 32 * 1_048_576;
/** Answers up to this size find room however many large ones are being read. */
const SMALL_BYTES = 65_536;

/**
 * Creates the memory for answers of one host. Servers that send bodies without end fill it, and not the memory of the
 * process: an answer that finds no room is given up.
 *
 * @returns the room, with nothing taken
 */
export default function createAnswerRoom(): AnswerRoom {
  let takenBytes = 0;
  return {
    open: () => {
      let sizeBytes = 0;
      return {
        get sizeBytes() {
          return sizeBytes;
        },
        take: (bytes) => {
          sizeBytes += bytes;
          takenBytes += bytes;
          return sizeBytes <= SMALL_BYTES || takenBytes <= ROOM_BYTES;
        },
        close: () => {
          takenBytes -= sizeBytes;
          sizeBytes = 0;
        },
      };
    },
  };
}
