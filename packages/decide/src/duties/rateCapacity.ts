/** Resources of a host. */
export interface HostResources {
  /** Processor time, in cores of standard speed. */
  readonly cores: number;
  readonly linkMbps: number;
}

/** Link speed that corresponds to one core of capacity. */
const MBPS_PER_CORE = 100;

/**
 * Computes the capacity of a host for duties besides its own requests.
 *
 * @param resources - processor and network link
 * @returns the capacity, in cores
 */
export default function rateCapacity({ cores, linkMbps }: HostResources): number {
  return Math.min(cores, linkMbps / MBPS_PER_CORE);
}
