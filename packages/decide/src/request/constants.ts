/** Maximum number of parallel attempts of one stage; the third covers a partition that hides two servers at once. */
export const MAX_PARALLEL_ATTEMPTS = 3;
