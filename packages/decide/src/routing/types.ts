/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** A backend server as the host list describes it. */
export interface ServerDescription {
  readonly serverId: string;
  readonly address: string;
  readonly port: number;
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
}

/** A backend server as seen by one entry host. */
export interface ServerView extends ServerDescription {
  /** Attempts of this host that wait for an answer. */
  readonly outstanding: number;
}

/** What the choice of a server depends on. */
export interface ChoiceOptions {
  readonly avoidServers: readonly string[];
  readonly failureDomain: string;
  readonly region: string;
  readonly random: Random;
}
