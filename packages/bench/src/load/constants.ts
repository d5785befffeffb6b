/** Interval at which hosts look at attempts in flight. */
export const TICK_MS = 100;

/** Interval at which each host polls load reports. */
export const REPORT_POLL_MS = 500;

/** Age of a load report when it arrives. */
export const REPORT_LAG_MS = 300;

/** One-way latency within a failure domain, between domains of a region and between regions. */
export const ONE_WAY_MS = { failureDomain: 0.1, region: 1, otherRegion: 12 } as const;

/** Input tokens that an engine prefills in the time of one output token. */
export const PREFILL_TOKENS_PER_TOKEN = 10;

/** Bytes on the wire of one streamed token with its event frame. */
export const BYTES_PER_TOKEN = 100;

/** Bytes of a reply that is not streamed, and of the headers of any message. */
export const BYTES_PER_MESSAGE = 500;

/** Part of the link that the system may use; the rest is for other traffic. */
export const LINK_SHARE = 0.8;

/** Longest output as a multiple of the mean; callers set a limit on the tokens. */
export const MAX_LENGTH_FACTOR = 2.5;

/** Spread of output lengths and of service times (sigma of the log-normal distribution). */
export const LENGTH_SIGMA = 0.5;
export const SERVICE_SIGMA = 0.3;

/** Stages of this host that may wait for a server before admission holds requests back. */
export const RELEASE_WINDOW = 1;

/** Budgets of a service document without values of its own, with the daemon's bursts. */
export const RETRY_BUDGET = { ratio: 0.1, burst: 10 };
export const HEDGE_BUDGET = { ratio: 0.02, burst: 5 };

/** A request is given up in a queue only without this part of the usual time. */
export const SURE_TIME_SHARE = 0.25;

/** A longer wait for admission means that local servers cannot serve everything in time. */
export const OVERLOAD_WAIT_MS = 300;

/** Interval at which the daemon looks at waiting requests. */
export const PUMP_MS = 10;

/** Rate of an organisation in scenarios without limits. */
export const NO_LIMIT_PER_SECOND = 1e9;
