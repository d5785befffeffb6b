import type { ServiceDocument } from '@bergamotcove/config';
import { createByteBudget, createExtraBudget, type ByteBudget, type ExtraBudget } from '@bergamotcove/decide';

/** Budgets of one service on this host. */
export interface ServiceBudgets {
  readonly retries: ExtraBudget;
  readonly hedges: ExtraBudget;
  readonly bytes: ByteBudget;
  readonly crossRegionAllowed: boolean;
}

/** Options of {@link createServiceBudgets}. */
export interface ServiceBudgetsOptions {
  readonly findDocument: (service: string) => ServiceDocument | undefined;
  /** Number of live entry hosts of this region; they share the byte rate of the link. */
  readonly regionHosts: () => number;
}

/** Extra attempts that may be sent at once after a quiet time. */
const RETRY_BURST = 10;
const HEDGE_BURST = 5;

interface CachedBudgets {
  readonly document: ServiceDocument;
  readonly hosts: number;
  readonly budgets: ServiceBudgets;
}

const createBudgets = (document: ServiceDocument, hosts: number): ServiceBudgets => ({
  retries: createExtraBudget({ ratio: document.retry.budgetRatio, burst: RETRY_BURST }),
  hedges: createExtraBudget({ ratio: document.hedge.maxRatio, burst: HEDGE_BURST }),
  bytes: createByteBudget(document.crossRegion.bytesPerSecond / Math.max(1, hosts)),
  crossRegionAllowed: document.crossRegion.allowed,
});

/**
 * Creates the lookup of the budgets of each service. The budgets are created anew when the service document or the number
 * of hosts changes.
 *
 * @param options - documents in force and number of live hosts
 * @returns a function that returns the budgets of a service, or undefined when no document of it is in force
 */
export default function createServiceBudgets(
  options: ServiceBudgetsOptions,
): (service: string) => ServiceBudgets | undefined {
  const cache = new Map<string, CachedBudgets>();
  return (service) => {
    const document = options.findDocument(service);
    if (document === undefined) {
      return undefined;
    }
    const hosts = options.regionHosts();
    const cached = cache.get(service);
    if (cached !== undefined && cached.document === document && cached.hosts === hosts) {
      return cached.budgets;
    }
    const budgets = createBudgets(document, hosts);
    cache.set(service, { document, hosts, budgets });
    return budgets;
  };
}
