/** Batch settings of a pool of stage servers for tests: a call of four pieces takes 300 ms (200 + 4 × 25). */
const SAMPLE_BATCH = {
  parallelCalls: 1,
  queuedCalls: 1,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 25,
  resultMemoryBytes: 1e9,
  keepResultMs: 4_000,
};

export default SAMPLE_BATCH;
