/** What a host has. */
export interface HostResources {
  /** Processor time, in cores of the usual speed. */
  readonly cores: number;
  readonly linkMbps: number;
}

/** Link speed that counts as much as one core. */
const MBPS_PER_CORE = 100;

/**
 * Rates what a host can carry beside its own requests.
 *
 * @param resources - processor and network link
 * @returns the capacity, in cores
 */
export default function rateCapacity({ cores, linkMbps }: HostResources): number {
  return Math.min(cores, linkMbps / MBPS_PER_CORE);
}
