import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createEngineSelector,
  createWorkLedger,
  decideEntry,
  findContinuers,
  isPermitted,
  LATE_VALUE,
  type EngineSelector,
  type EntryDecision,
  type EntryOutlook,
  type GenerationNeed,
  type PipelineNeed,
  type WorkLedger,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import findFasterRegion from './findFasterRegion.js';
import placeGeneration from './placeGeneration.js';
import splitEngines, { type SplitEngines } from './splitEngines.js';
import createRegionLoads, { type RegionLoads } from './createRegionLoads.js';
import { DEFAULT_ANSWER_MS } from '../requests/Reservation.js';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import createPeerMap from '../hosts/createPeerMap.js';
import {
  ENTER,
  NOTE,
  PLACE,
  REOPEN,
  REPORT_POOL,
  REPORT_REGION,
  type EnterAnswer,
  type EnterRequest,
  type OpenRequest,
  type PlaceAnswer,
  type PlaceRequest,
  type PoolReport,
  type RegionReport,
  type RequestNote,
} from './messages.js';

/** Admits the requests of all hosts of a region, and assigns engines to them. */
export interface RegionScheduler {
  enter(request: EnterRequest): EnterAnswer;
  place(request: PlaceRequest): PlaceAnswer;
  note(note: RequestNote): void;
  reportPool(report: PoolReport): void;
  reopen(requests: readonly OpenRequest[]): void;
  /** Clears the state when this host is not the scheduler: it is not told of later events and would become stale. */
  updateOwnership(isScheduler: boolean): void;
  /** Number of open requests of other hosts. */
  readonly openRemoteRequests: number;
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  close(): void;
}

/** Options of {@link createRegionScheduler}. */
export interface RegionSchedulerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'isOwned' | 'takeOwned' | 'predictTurnMs' | 'closedUntilMs' | 'maySend'>;
  readonly tables: RouteTableHolder;
  readonly region: string;
}

/** Name by which the hosts of a region are ranked to choose the scheduler. */
export const SCHEDULER_DUTY = 'schedule';

/** Limit on the open requests that are kept for one host; older ones have passed their deadlines. */
const MAX_REQUESTS_PER_PEER = 5_000;
/** Deadline of generations whose host sends none. */
const DEFAULT_DEADLINE_MS = 60_000;
/** Interval of the reports to other regions while requests arrive. */
const REPORT_INTERVAL_MS = 250;
/** Reports are sent until this time after the last request. */
const REPORT_AFTER_ENTRY_MS = 1_000;

class Scheduler implements RegionScheduler {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private readonly ledger: WorkLedger;

  private readonly engines = new Map<string, EngineSelector>();

  private readonly loads: RegionLoads;

  /** Open requests of other hosts. They are removed when the link to their host ends. */
  private readonly remoteRequests = createPeerMap<true>({
    maxEntries: MAX_REQUESTS_PER_PEER,
    onGone: (requests) =>
      requests.forEach((_, requestId) => {
        this.unplaced.delete(requestId);
        this.ledger.remove(requestId);
      }),
  });

  /** Pools of placed generations of other hosts. A host that is lost does not report their ends. */
  private readonly placements = createPeerMap<string>({
    maxEntries: MAX_REQUESTS_PER_PEER,
    onGone: (pools) => pools.forEach((pool, requestId) => this.endPlacement(pool, requestId)),
  });

  /** Pools of the generations of admitted requests that have no engine yet. */
  private readonly unplaced = new Map<string, string>();

  private lastEntryAtMs = -Infinity;

  private timer: Timer | undefined;

  constructor(private readonly options: RegionSchedulerOptions) {
    this.loads = createRegionLoads({
      ...options,
      findSpec: (pool) => options.tables.current()?.pools.get(pool)?.batch,
      ledger: () => this.ledger,
    });
    this.ledger = createWorkLedger(options.region, (pool, region) => this.loads.findPool(pool, region));
    options.directory.onChange(() => this.engines.forEach((selector, pool) => this.updateEngines(selector, pool)));
    this.methods = {
      [ENTER]: (params, peer) => {
        const request = params as EnterRequest;
        const answer = this.enter(request);
        if (answer.type === 'admitted') {
          this.remoteRequests.set(peer, request.requestId, true);
        }
        return answer;
      },
      [PLACE]: (params, peer) => {
        const request = params as PlaceRequest;
        this.placements.set(peer, request.requestId, request.pool);
        return this.place(request);
      },
      [NOTE]: (params, peer) => {
        const note = params as RequestNote;
        if (note.type === 'left') {
          this.remoteRequests.delete(peer, note.requestId);
          this.placements.delete(peer, note.requestId);
        }
        this.note(note);
        return true;
      },
      [REOPEN]: (params, peer) => {
        const requests = params as readonly OpenRequest[];
        requests.forEach(({ requestId }) => this.remoteRequests.set(peer, requestId, true));
        this.reopen(requests);
        return true;
      },
      [REPORT_POOL]: (params) => {
        this.reportPool(params as PoolReport);
        return true;
      },
      [REPORT_REGION]: (params) => {
        this.loads.noteRegion(params as RegionReport);
        return true;
      },
    };
  }

  get openRemoteRequests(): number {
    return this.remoteRequests.size;
  }

  enter(request: EnterRequest): EnterAnswer {
    const nowMs = this.options.clock.monotonicMs();
    this.lastEntryAtMs = nowMs;
    this.ledger.expire(nowMs);
    const engine = this.predictEngine(request, nowMs);
    const need: PipelineNeed = {
      requestId: request.requestId,
      value: request.value,
      stages: request.stages,
      dueAtMs: nowMs + request.dueInMs,
      deadlineAtMs: nowMs + request.deadlineInMs,
      arrivedAtMs: nowMs,
    };
    const outlook: EntryOutlook = {
      nowMs,
      home: this.loads.home(),
      others: this.loads.others().filter(({ region }) => isPermitted(request.homeRegions, region)),
      answerMs: engine?.firstTokenMs ?? DEFAULT_ANSWER_MS,
      engineAtMs: this.predictTurnMs(request.generation?.pool, request.homeRegions),
    };
    const decision = decideEntry(need, outlook);
    if (decision.type !== 'on-time' && !request.visiting) {
      const region = findFasterRegion(need, outlook);
      if (region !== undefined) {
        return { type: 'elsewhere', region };
      }
    }
    this.logDecision(request, decision, outlook);
    if (decision.type === 'refused') {
      return { type: 'refused', retryAfterMs: decision.retryAfterMs };
    }
    const { type: tier, regions, holds } = decision;
    if (request.generation !== undefined) {
      this.unplaced.set(request.requestId, request.generation.pool);
    }
    this.ledger.add(tier === 'late' ? { ...need, value: need.value * LATE_VALUE } : need, regions, holds);
    return {
      type: 'admitted',
      tier,
      expectedInMs: decision.expectedAtMs - nowMs,
      answerMs: outlook.answerMs,
      failureDomain: engine?.failureDomain,
      regions,
    };
  }

  place(request: PlaceRequest): PlaceAnswer {
    const nowMs = this.options.clock.monotonicMs();
    const { pool, softwareVersion } = request;
    const { permitted: engines, closedServers } = this.splitEngines(pool, request.homeRegions);
    const selector = this.findSelector(pool);
    this.unplaced.delete(request.requestId);
    const need: GenerationNeed = {
      requestId: request.requestId,
      parts: request.parts,
      promptTokens: request.promptTokens,
      resultBytes: new Map(Object.entries(request.resultBytes)),
      avoidServers: request.avoidServers,
      closedServers,
      softwareVersion,
      deadlineAtMs: nowMs + (request.deadlineInMs ?? DEFAULT_DEADLINE_MS),
    };
    const placed = placeGeneration(need, {
      selector,
      limits: this.options.limits,
      servers: softwareVersion === undefined ? engines : findContinuers(engines, { pool, softwareVersion }),
      pool,
      key: request.key ?? request.requestId,
      nowMs,
    });
    if (placed.type !== 'placed') {
      return placed.type === 'later' ? { laterInMs: placed.atMs - nowMs } : {};
    }
    const { choice, permitted } = placed;
    selector.place(need, choice, nowMs);
    return {
      serverId: choice.serverId,
      firstTokenMs: choice.firstTokenMs,
      ...(permitted ? { permitted, ...this.describePace(choice.serverId) } : {}),
    };
  }

  note(note: RequestNote): void {
    switch (note.type) {
      case 'stage-ended':
        this.ledger.endStage(note.requestId, note.stage);
        break;
      case 'left':
        this.unplaced.delete(note.requestId);
        this.ledger.remove(note.requestId);
        break;
      default:
        if (note.event.type !== 'failed') {
          this.ledger.releaseResults(note.event.requestId);
        }
        this.engines.get(note.pool)?.recordEvent(note.event, this.options.clock.monotonicMs());
    }
  }

  reopen(requests: readonly OpenRequest[]): void {
    const nowMs = this.options.clock.monotonicMs();
    requests.forEach(({ requestId, value, stages, regions, deadlineInMs, endedStages }) => {
      const deadlineAtMs = nowMs + deadlineInMs;
      const need = { requestId, value, stages, dueAtMs: deadlineAtMs, deadlineAtMs, arrivedAtMs: nowMs };
      this.ledger.add(need, regions);
      endedStages.forEach((stage) => this.ledger.endStage(requestId, stage));
    });
  }

  updateOwnership(isScheduler: boolean): void {
    if (!isScheduler) {
      this.ledger.clear();
      this.unplaced.clear();
      this.engines.forEach((selector) => selector.clearPlacements());
    }
  }

  reportPool(report: PoolReport): void {
    this.loads.notePool(report);
  }

  /** Starts the load reports to the schedulers of other regions. They are sent while requests arrive. */
  start(hosts: HostRegistry): void {
    this.timer = this.options.clock.schedule(REPORT_INTERVAL_MS, () => {
      this.start(hosts);
      const nowMs = this.options.clock.monotonicMs();
      if (nowMs - this.lastEntryAtMs > REPORT_AFTER_ENTRY_MS) {
        return;
      }
      hosts.regions().forEach((region) => {
        const [owner] = hosts.rankOwners(SCHEDULER_DUTY, region);
        if (region !== this.options.region && owner !== undefined) {
          const report = this.loads.report(region);
          this.options.links.call(owner.target, REPORT_REGION, report).catch(() => hosts.noteSilent(owner.hostId));
        }
      });
    });
  }

  close(): void {
    this.timer?.close();
  }

  private predictEngine(request: EnterRequest, nowMs: number) {
    const { generation, requestId } = request;
    if (generation === undefined) {
      return undefined;
    }
    const { closedServers } = this.splitEngines(generation.pool, request.homeRegions);
    const noInputs = { resultBytes: new Map<string, number>(), avoidServers: [], closedServers };
    const need = { requestId, ...generation, ...noInputs, deadlineAtMs: nowMs + request.deadlineInMs };
    return this.findSelector(generation.pool).choose(need, nowMs);
  }

  /** Predicts when a generation gets an engine when all engines have rate limits; undefined otherwise. */
  private predictTurnMs(pool: string | undefined, homeRegions: EnterRequest['homeRegions']): number | undefined {
    const { limits } = this.options;
    const serverIds = this.splitEngines(pool ?? '', homeRegions).permitted.map(({ serverId }) => serverId);
    if (pool === undefined || serverIds.length === 0 || !serverIds.every((serverId) => limits.isOwned(serverId))) {
      return undefined;
    }
    const unplaced = [...this.unplaced.values()].filter((each) => each === pool).length;
    return limits.predictTurnMs({ queue: pool, serverIds }, unplaced);
  }

  private splitEngines(pool: string, homeRegions: readonly string[] | undefined): SplitEngines {
    return splitEngines(this.options.directory, this.options.region, { pool, homeRegions });
  }

  /** States that a permission regards the pace of an engine. */
  private describePace(serverId: string): Pick<PlaceAnswer, 'paced'> {
    return this.options.limits.maySend(serverId, undefined) ? {} : { paced: true };
  }

  private endPlacement(pool: string, requestId: string): void {
    this.engines.get(pool)?.recordEvent({ type: 'ended', requestId }, this.options.clock.monotonicMs());
  }

  private findSelector(pool: string): EngineSelector {
    const known = this.engines.get(pool);
    if (known !== undefined) {
      return known;
    }
    const selector = createEngineSelector();
    this.engines.set(pool, selector);
    this.updateEngines(selector, pool);
    return selector;
  }

  private updateEngines(selector: EngineSelector, pool: string): void {
    const capacityTokens = this.options.tables.current()?.pools.get(pool)?.engine?.capacityTokens ?? 0;
    const servers = this.options.directory.listNear(pool, this.options.region);
    selector.setEngines(servers.map((server) => ({ ...server, capacityTokens })));
  }

  private logDecision(
    request: EnterRequest,
    decision: EntryDecision,
    { nowMs, answerMs, engineAtMs = nowMs }: EntryOutlook,
  ): void {
    const { requestId, value, dueInMs } = request;
    if (decision.type !== 'on-time') {
      this.options.logger.event('requestDelayed', {
        requestId,
        decision: decision.type,
        worth: Math.round(value * 100) / 100,
        dueInMs: Math.round(dueInMs),
        expectedInMs: Math.round(decision.expectedAtMs - nowMs),
        answerMs: Math.round(answerMs),
        engineInMs: Math.round(engineAtMs - nowMs),
        open: this.ledger.size,
        loadsMs: this.loads.listLoads(),
        ...(decision.type === 'refused' ? { retryAfterMs: Math.round(decision.retryAfterMs) } : {}),
      });
    }
  }
}

/**
 * Creates the scheduler of a region. Every host has one; only that of the first-ranked host of the region is asked.
 *
 * @param options - server directory, route table and links to other hosts
 * @returns the scheduler; close it to stop its reports
 */
export default function createRegionScheduler(options: RegionSchedulerOptions): RegionScheduler {
  return new Scheduler(options);
}
