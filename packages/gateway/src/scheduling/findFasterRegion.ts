import { planPipeline, REGION_HOP_MS, withMinValue, type EntryOutlook, type PipelineNeed } from '@bergamotcove/decide';

/** Minimum gain in expected time for which a request is sent to another region. */
const MIN_REGION_GAIN_MS = 150;

/**
 * Finds the other region that is expected to serve the whole request earliest and on time.
 *
 * @param need - work that the request requires
 * @param outlook - state and load of the pools
 * @returns the region; undefined when none gains enough
 */
export default function findFasterRegion(need: PipelineNeed, outlook: EntryOutlook): string | undefined {
  const local = planPipeline(need, withMinValue(outlook, need.value / 2));
  return withMinValue(outlook, 0)
    .others.map((pools) => {
      const plan = planPipeline(need, { ...outlook, home: pools, others: [] });
      return { region: pools.region, endAtMs: plan.endAtMs + 2 * REGION_HOP_MS };
    })
    .filter(({ endAtMs }) => endAtMs <= need.dueAtMs && endAtMs + MIN_REGION_GAIN_MS <= local.endAtMs)
    .sort((a, b) => a.endAtMs - b.endAtMs)[0]?.region;
}
