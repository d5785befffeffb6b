/** Collects the chunks of a body in one buffer. */
export interface ByteCollector {
  readonly sizeBytes: number;
  /** Memory that the collected bytes take up. */
  readonly heldBytes: number;
  /** Whether the body came in far more chunks than its size needs, which takes the receiver's processor for nothing. */
  readonly isFragmented: boolean;
  push(chunk: Uint8Array): void;
  /** The collected bytes; valid until the next call of `push` or `clear`. */
  read(): Buffer;
  /** Removes the collected bytes. */
  clear(): void;
}

const INITIAL_BYTES = 1_024;
/** A body may have this many chunks of any size. */
const FREE_CHUNKS = 4_096;
/** Smallest mean size of the chunks beyond them. */
const MIN_MEAN_CHUNK_BYTES = 64;

class Collector implements ByteCollector {
  sizeBytes = 0;

  private buffer = Buffer.alloc(0);

  constructor(private readonly expectedBytes: number) {}

  private chunks = 0;

  get heldBytes(): number {
    return this.buffer.length;
  }

  get isFragmented(): boolean {
    return this.chunks > FREE_CHUNKS + this.sizeBytes / MIN_MEAN_CHUNK_BYTES;
  }

  push(chunk: Uint8Array): void {
    const neededBytes = this.sizeBytes + chunk.length;
    if (neededBytes > this.buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(this.expectedBytes, neededBytes, 2 * this.buffer.length));
      this.buffer.copy(grown, 0, 0, this.sizeBytes);
      this.buffer = grown;
    }
    this.buffer.set(chunk, this.sizeBytes);
    this.sizeBytes = neededBytes;
    this.chunks += 1;
  }

  read(): Buffer {
    return this.buffer.subarray(0, this.sizeBytes);
  }

  clear(): void {
    this.buffer = Buffer.alloc(0);
    this.sizeBytes = 0;
    this.chunks = 0;
  }
}

/**
 * Creates a collector. It copies each chunk, because a chunk that is kept as it is costs an object of its own and keeps
 * the whole buffer of the socket read that it is a part of.
 *
 * @param options - expected size of the body, for which memory is allocated with the first chunk
 * @returns the collector, empty
 * @example
 * stream.on('data', (chunk) => collector.push(chunk));
 */
export default function createByteCollector({ expectedBytes = INITIAL_BYTES } = {}): ByteCollector {
  return new Collector(expectedBytes);
}
