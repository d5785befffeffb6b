import type { EngineRole, PlannerInput } from '../types.js';

// With fewer engines, a role could have a single engine, whose failure would stop the pool.
const MIN_ENGINES_FOR_ROLES = 4;

/** Assigns a role to each live engine; engines that already run prefill are the first to get it. */
export default function assignRoles({ engines, limits }: PlannerInput): ReadonlyMap<string, EngineRole> {
  const live = engines.filter((engine) => !engine.leaving);
  if (limits.prefillShare === 0 || live.length < MIN_ENGINES_FOR_ROLES) {
    return new Map(live.map(({ engineId }) => [engineId, 'mixed']));
  }
  const prefillCount = Math.min(live.length - 2, Math.max(2, Math.round(live.length * limits.prefillShare)));
  const ranked = [...live].sort(
    (a, b) =>
      Number(b.role === 'prefill') - Number(a.role === 'prefill') ||
      Number(a.role === 'decode') - Number(b.role === 'decode') ||
      a.engineId.localeCompare(b.engineId),
  );
  return new Map(ranked.map(({ engineId }, index) => [engineId, index < prefillCount ? 'prefill' : 'decode']));
}
