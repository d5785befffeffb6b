/** Tokens of one stream of the instant server. */
export const STREAM_TOKENS = 100;

/** Time between two tokens of a stream; short, so that few streams give the tokens/s of a host at the target size. */
export const STREAM_TOKEN_GAP_MS = 5;

/** Generator processes of one run. */
export const GENERATORS = 2;

/** Time before a run is measured; the compiler of the runtime has done most of its work by then. */
export const WARM_UP_MS = 1_500;
