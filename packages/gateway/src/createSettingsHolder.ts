import type { GatewaySettings } from './settings.js';

/** Settings in force. */
export interface SettingsHolder {
  current(): GatewaySettings;
  /** Takes changed settings; returns the names of those that hold only after a restart. */
  apply(settings: GatewaySettings): readonly string[];
}

/** Settings that parts ask for when they need them; the others are read once, at the start. */
const LIVE: ReadonlySet<string> = new Set(['retries', 'stop']);

const withoutRegions = (settings: GatewaySettings): object => ({
  ...settings,
  host: { ...settings.host, regions: undefined },
});

/**
 * Holds the settings in force.
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
        .filter(([name, value]) => !LIVE.has(name) && JSON.stringify(value) !== JSON.stringify(before.get(name)))
        .map(([name]) => name);
    },
  };
}
