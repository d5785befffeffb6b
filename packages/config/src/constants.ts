/** Prefix of the keys that hold the current version of each service document. */
export const HEADS_PREFIX = '/bergamot/heads/';

/** Prefix of the keys that hold every version: `/bergamot/services/<service>/<version>`. */
export const VERSIONS_PREFIX = '/bergamot/services/';

/** Digits of a version in a key, so that keys sort by version. */
export const VERSION_DIGITS = 10;
