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
  /** Live entry hosts of this region; they share the bytes of the link. */
  readonly regionHosts: () => number;
}

/** Attempts that may be repeated at once after a quiet time. */
const RETRY_BURST = 10;
const HEDGE_BURST = 5;

interface Kept {
  readonly document: ServiceDocument;
  readonly hosts: number;
  readonly budgets: ServiceBudgets;
}

const build = (document: ServiceDocument, hosts: number): ServiceBudgets => ({
  retries: createExtraBudget({ ratio: document.retry.budgetRatio, burst: RETRY_BURST }),
  hedges: createExtraBudget({ ratio: document.hedge.maxRatio, burst: HEDGE_BURST }),
  bytes: createByteBudget(document.crossRegion.bytesPerSecond / Math.max(1, hosts)),
  crossRegionAllowed: document.crossRegion.allowed,
});

/**
 * Creates the owner of the budgets. They start again when the document or the number of hosts changes.
 *
 * @param options - documents in force and live hosts
 * @returns the budgets of a service, or undefined when no document of it is in force
 */
export default function createServiceBudgets(
  options: ServiceBudgetsOptions,
): (service: string) => ServiceBudgets | undefined {
  const kept = new Map<string, Kept>();
  return (service) => {
    const document = options.findDocument(service);
    if (document === undefined) {
      return undefined;
    }
    const hosts = options.regionHosts();
    const known = kept.get(service);
    if (known !== undefined && known.document === document && known.hosts === hosts) {
      return known.budgets;
    }
    const budgets = build(document, hosts);
    kept.set(service, { document, hosts, budgets });
    return budgets;
  };
}
