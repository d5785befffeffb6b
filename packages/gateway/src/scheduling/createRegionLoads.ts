import type { Clock } from '@bergamotcove/clock';
import type { BatchSpec } from '@bergamotcove/config';
import { USABLE_ROOM_SHARE, type RankedPools, type StagePoolState, type WorkLedger } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { PoolReport, PoolSpeed, RegionReport } from './messages.js';
import { measureLoadSteps, readLoadStep } from './valueSteps.js';

/** Load of the stage pools of all regions, as known to the scheduler of one region. */
export interface RegionLoads {
  notePool(report: PoolReport): void;
  noteRegion(report: RegionReport): void;
  /** State of the servers of a pool in a region; undefined when there are none. */
  findPool(pool: string, region: string): StagePoolState | undefined;
  home(): RankedPools;
  /** Other regions whose latest report is still valid. */
  others(): readonly RankedPools[];
  /** Creates the report for the scheduler of another region. */
  report(receiver: string): RegionReport;
  /** Pools whose batch owners have reported, each with its load in milliseconds, for logs. */
  listLoads(): readonly string[];
}

/** Options of {@link createRegionLoads}. */
export interface RegionLoadsOptions {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly region: string;
  readonly findSpec: (pool: string) => BatchSpec | undefined;
  readonly ledger: () => WorkLedger;
}

/** Time for which a report of another region is valid. */
const REPORT_LIFETIME_MS = 1_000;

class Loads implements RegionLoads {
  private readonly speeds = new Map<string, PoolSpeed>();

  private readonly reports = new Map<string, { readonly report: RegionReport; readonly atMs: number }>();

  constructor(private readonly options: RegionLoadsOptions) {}

  notePool({ pool, ...speed }: PoolReport): void {
    this.speeds.set(pool, speed);
  }

  noteRegion(report: RegionReport): void {
    this.reports.set(report.region, { report, atMs: this.options.clock.monotonicMs() });
  }

  findPool(pool: string, region: string): StagePoolState | undefined {
    const { directory, findSpec } = this.options;
    const spec = findSpec(pool);
    if (spec === undefined) {
      return undefined;
    }
    const isHome = region === this.options.region;
    const reported = isHome ? this.speeds.get(pool) : this.reports.get(region)?.report.speeds[pool];
    const servers = directory.list(pool).filter((server) => server.region === region).length;
    if (servers === 0 && !isHome) {
      return undefined;
    }
    const speed = Math.min(reported?.speed ?? Infinity, servers);
    const roomBytes = spec.resultMemoryBytes * servers;
    return { spec, speed, pieceMs: new Map(Object.entries(reported?.pieceMs ?? {})), roomBytes };
  }

  home(): RankedPools {
    const { region } = this.options;
    const reports = this.listCurrentReports();
    const findPool = this.rememberPools(region);
    return {
      region,
      findPool,
      loadMs: (pool, minValue) =>
        reports.reduce(
          (sum, { sentMs }) => sum + readLoadStep(sentMs[pool], minValue),
          this.options.ledger().loadMs(pool, minValue, region, findPool(pool)),
        ),
      roomByteMs: (pool, minValue, room) => this.options.ledger().roomByteMs(pool, minValue, room),
    };
  }

  others(): readonly RankedPools[] {
    return this.listCurrentReports().map(({ region, loadsMs }) => ({
      region,
      findPool: this.rememberPools(region),
      loadMs: (pool, minValue) =>
        readLoadStep(loadsMs[pool], minValue) + this.options.ledger().loadMs(pool, minValue, region),
      roomByteMs: (pool, minValue, room) => this.options.ledger().roomByteMs(pool, minValue, { ...room, region }),
    }));
  }

  report(receiver: string): RegionReport {
    const ledger = this.options.ledger();
    const otherReports = this.listCurrentReports().filter(({ region }) => region !== receiver);
    const pools = [...this.speeds.keys()];
    return {
      region: this.options.region,
      speeds: Object.fromEntries(this.speeds),
      loadsMs: Object.fromEntries(
        pools.map((pool) => [
          pool,
          measureLoadSteps((minValue) =>
            otherReports.reduce(
              (sum, { sentMs }) => sum + readLoadStep(sentMs[pool], minValue),
              Math.max(
                ledger.loadMs(pool, minValue),
                (ledger.roomByteMs(pool, minValue) ?? 0) / this.usableBytes(pool),
              ),
            ),
          ),
        ]),
      ),
      sentMs: Object.fromEntries(
        pools.map((pool) => [pool, measureLoadSteps((minValue) => ledger.loadMs(pool, minValue, receiver))]),
      ),
    };
  }

  listLoads(): readonly string[] {
    return [...this.speeds.keys()].map((pool) => `${pool} ${Math.round(this.options.ledger().loadMs(pool, 0))}`);
  }

  /** Finds each pool once, because a decision asks several times for the same ones. */
  private rememberPools(region: string): RankedPools['findPool'] {
    const found = new Map<string, StagePoolState | undefined>();
    return (pool) => {
      if (!found.has(pool)) {
        found.set(pool, this.findPool(pool, region));
      }
      return found.get(pool);
    };
  }

  private usableBytes(pool: string): number {
    return (this.findPool(pool, this.options.region)?.roomBytes || Infinity) * USABLE_ROOM_SHARE;
  }

  private listCurrentReports(): readonly RegionReport[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.reports.values()]
      .filter(({ atMs }) => nowMs - atMs < REPORT_LIFETIME_MS)
      .map(({ report }) => report);
  }
}

/**
 * Creates the load model of a region's scheduler. The load of the own region is that of its ledger plus the work that
 * other regions report to send here; that of another region is its report plus the ledger's work that is sent there.
 *
 * @param options - server directory, batch settings of the pools, and the ledger of the region
 * @returns the loads
 */
export default function createRegionLoads(options: RegionLoadsOptions): RegionLoads {
  return new Loads(options);
}
