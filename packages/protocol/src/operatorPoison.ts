/** Method by which an operator releases a blocked fingerprint. */
export const OPERATOR_RELEASE_POISON = 'operator.releasePoison';
/** Method by which an operator lists the blocked fingerprints. */
export const OPERATOR_LIST_POISON = 'operator.listPoison';
