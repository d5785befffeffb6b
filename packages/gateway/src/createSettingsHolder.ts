import type { GatewaySettings } from './settings.js';

/** Settings in force. */
export interface SettingsHolder {
  current(): GatewaySettings;
  /** Applies changed settings; returns the names of those that take effect only after a restart. */
  apply(settings: GatewaySettings): readonly string[];
}

/** Settings that are read at each use and so take effect at once; the others are read only at the start. */
const RELOADABLE: ReadonlySet<string> = new Set(['retries', 'stop']);

const withoutRegions = (settings: GatewaySettings): object => ({
  ...settings,
  host: { ...settings.host, regions: undefined },
});

/**
 * Creates the holder of the settings in force.
 *
 * @param settings - settings at the start
 * @returns the holder
 */
export default function createSettingsHolder(settings: GatewaySettings): SettingsHolder {
  let current = settings;
  return {
    current: () => current,
    apply: (next) => {
      const before = new Map(Object.entries(withoutRegions(settings)));
      current = next;
      return Object.entries(withoutRegions(next))
        .filter(([name, value]) => !RELOADABLE.has(name) && JSON.stringify(value) !== JSON.stringify(before.get(name)))
        .map(([name]) => name);
    },
  };
}
