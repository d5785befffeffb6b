/** How a pool of stage servers works, as tests use it: a call of four pieces takes 300 ms. */
const SAMPLE_BATCH = {
  parallelCalls: 1,
  queuedCalls: 1,
  maxPieces: 4,
  callMs: 200,
  pieceMs: 25,
  roomBytes: 1e9,
  keepResultMs: 4_000,
};

export default SAMPLE_BATCH;
