/** Exit codes of `bergamotctl`. */
export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_USAGE = 2;
/** A newer version of the document exists. */
export const EXIT_CONFLICT = 3;
/** The change may or may not have taken effect. */
export const EXIT_UNKNOWN = 4;
