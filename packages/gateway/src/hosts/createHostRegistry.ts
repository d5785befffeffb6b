import { createLeaseHolder, type StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import { rankByRendezvous } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { Target } from '@bergamotcove/transport';

/** A host of the system. */
export interface HostEntry {
  readonly hostId: string;
  readonly target: Target;
  readonly failureDomain: string;
  readonly region: string;
  /** Distinguishes the starts of a host. */
  readonly startId: string;
}

/** The hosts of the system as this one sees them. */
export interface HostRegistry {
  readonly self: HostEntry;
  /** Writes the own key and keeps it. */
  start(): void;
  /** All listed hosts, this one included. */
  list(): readonly HostEntry[];
  /** Hosts in the order in which they own a duty of this region, those that do not answer left out. */
  rankOwners(duty: string): readonly HostEntry[];
  /** A host did not answer; it owns no duty for a while. */
  noteSilent(hostId: string): void;
  put(key: string, text: string): void;
  remove(key: string): void;
  replace(entries: readonly { readonly key: string; readonly text: string }[]): void;
  /** Removes the own key, so that other hosts stop to use this one. */
  leave(): Promise<void>;
  onChange(run: () => void): void;
}

/** Options of {@link createHostRegistry}. */
export interface HostRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StoreClient;
  readonly prefix: string;
  readonly self: HostEntry;
}

/** A host that lost its power or its path to the store is dropped from the list after this time. */
const LEASE_TTL_MS = 4_000;
/** Time for which a host that did not answer owns no duty. */
const SILENT_MS = 2_000;

const parseEntry = (text: string): HostEntry | undefined => {
  try {
    return JSON.parse(text) as HostEntry;
  } catch {
    return undefined;
  }
};

/**
 * Keeps the list of the system's hosts: one key each in the store, under a lease.
 *
 * @param options - store, prefix of the keys and this host
 * @returns the registry
 */
export default function createHostRegistry(options: HostRegistryOptions): HostRegistry {
  const { clock, logger, store, self } = options;
  const entries = new Map<string, HostEntry>();
  const silentUntilMs = new Map<string, number>();
  const listeners: (() => void)[] = [];
  const key = `${options.prefix}${self.hostId}/${self.startId}`;
  const lease = createLeaseHolder(store, {
    clock,
    random: Math.random,
    ttlMs: LEASE_TTL_MS,
    key: { key, value: JSON.stringify(self) },
    onLost: () => logger.event('hostLeaseLost', {}),
  });
  const changed = (): void => listeners.forEach((run) => run());

  const list = (): readonly HostEntry[] => {
    const byId = new Map([...entries.values()].map((entry) => [entry.hostId, entry]));
    byId.set(self.hostId, self);
    return [...byId.values()];
  };

  return {
    self,
    start: () => lease.start(),
    list,
    rankOwners: (duty) => {
      const nowMs = clock.monotonicMs();
      const usable = list().filter(
        (host) => host.region === self.region && (silentUntilMs.get(host.hostId) ?? 0) <= nowMs,
      );
      const byId = new Map(usable.map((host) => [host.hostId, host]));
      return rankByRendezvous([...byId.keys()], duty).map((hostId) => byId.get(hostId) as HostEntry);
    },
    noteSilent: (hostId) => {
      silentUntilMs.set(hostId, clock.monotonicMs() + SILENT_MS);
      logger.event('peerSilent', { peer: hostId });
    },
    put: (entryKey, text) => {
      const entry = parseEntry(text);
      if (entry !== undefined) {
        entries.set(entryKey, entry);
        silentUntilMs.delete(entry.hostId);
        logger.event('hostListed', { peer: entry.hostId, failureDomain: entry.failureDomain });
        changed();
      }
    },
    remove: (entryKey) => {
      const entry = entries.get(entryKey);
      if (entries.delete(entryKey)) {
        logger.event('hostDropped', { peer: entry?.hostId });
        changed();
      }
    },
    replace: (all) => {
      entries.clear();
      all.forEach(({ key: entryKey, text }) => {
        const entry = parseEntry(text);
        if (entry !== undefined) {
          entries.set(entryKey, entry);
        }
      });
      changed();
    },
    leave: () => lease.close(),
    onChange: (run) => {
      listeners.push(run);
    },
  };
}
