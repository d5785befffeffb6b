/** Attempts of one stage that may run side by side; the third is for a cut that hides two servers at once. */
export const MAX_PARALLEL_ATTEMPTS = 3;
