import type { Clock } from '@bergamotcove/clock';
import type { OutputQuery, OutputSummary, PartEvidence } from '@bergamotcove/decide';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import matchesShape, { type Shape } from '../hosts/matchesShape.js';
import { SUMMARISE_OUTPUTS, type OutputAnswer, type OutputParams } from './messages.js';
import queryHosts from './queryHosts.js';

/** Collects from all hosts what output servers have produced around some crashes. */
export interface OutputTally {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  /** Collects the output of a pool, as far as hosts answer in time. */
  collect(query: OutputQuery): Promise<PartEvidence>;
}

/** Options of {@link createOutputTally}. */
export interface OutputTallyOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
  /** Summarises the output that this host has seen. */
  readonly summarise: (query: OutputQuery) => OutputSummary;
}

const OUTPUT_ANSWER: Shape = { lastOutputAgesMs: ['number'], outputCounts: ['number'] };
/** Hosts that do not answer within this time count as having seen no output. */
const ANSWER_LIMIT_MS = 300;

/** Merges summaries of several hosts for the same query. */
const merge = (one: OutputSummary, other: OutputSummary): OutputSummary => ({
  lastOutputsAtMs: one.lastOutputsAtMs.map((atMs, index) => {
    const latestMs = Math.max(atMs ?? -Infinity, other.lastOutputsAtMs[index] ?? -Infinity);
    return latestMs === -Infinity ? undefined : latestMs;
  }),
  outputCounts: one.outputCounts.map((count, index) => count + (other.outputCounts[index] ?? 0)),
});

const toEvidence = ({ parts, crashesAtMs }: OutputQuery, summary: OutputSummary): PartEvidence => {
  const lastOutputsAtMs = new Map(parts.map((part, index) => [part, summary.lastOutputsAtMs[index]]));
  return {
    lastOutputAtMs: (part) => lastOutputsAtMs.get(part),
    countOutputs: (fromMs, toMs) =>
      summary.outputCounts
        .filter((_, index) => (crashesAtMs[index] ?? 0) >= fromMs && (crashesAtMs[index + 1] ?? 0) <= toMs)
        .reduce((sum, count) => sum + count, 0),
  };
};

class Tally implements OutputTally {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: OutputTallyOptions) {
    this.methods = { [SUMMARISE_OUTPUTS]: (params) => this.answer(params as OutputParams) };
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
  }

  async collect(query: OutputQuery): Promise<PartEvidence> {
    const { clock, summarise } = this.options;
    const { hosts } = this;
    const nowMs = clock.monotonicMs();
    let summary = summarise(query);
    const { pool, parts, crashesAtMs } = query;
    const params: OutputParams = { pool, parts, crashAgesMs: crashesAtMs.map((atMs) => nowMs - atMs) };
    const others = hosts?.list().filter(({ hostId }) => hostId !== hosts.self.hostId) ?? [];
    const onAnswer = (answer: unknown): boolean => {
      if (!matchesShape(answer, OUTPUT_ANSWER)) {
        return false;
      }
      const { lastOutputAgesMs, outputCounts } = answer as OutputAnswer;
      const lastOutputsAtMs = lastOutputAgesMs.map((ageMs) => (ageMs === null ? undefined : nowMs - ageMs));
      summary = merge(summary, { lastOutputsAtMs, outputCounts });
      return false;
    };
    const hostQuery = { method: SUMMARISE_OUTPUTS, params, limitMs: ANSWER_LIMIT_MS, onAnswer };
    await queryHosts(others, hostQuery, this.options);
    return toEvidence(query, summary);
  }

  /** Answers another host; ages stand for times, because the clocks of hosts differ. */
  private answer({ pool, parts, crashAgesMs }: OutputParams): OutputAnswer {
    const { clock, summarise } = this.options;
    const nowMs = clock.monotonicMs();
    const summary = summarise({ pool, parts, crashesAtMs: crashAgesMs.map((ageMs) => nowMs - ageMs) });
    return {
      lastOutputAgesMs: summary.lastOutputsAtMs.map((atMs) => (atMs === undefined ? null : nowMs - atMs)),
      outputCounts: summary.outputCounts,
    };
  }
}

/**
 * Creates the tally of a host.
 *
 * @param options - links to other hosts, and the output that this host has seen
 * @returns the tally
 */
export default function createOutputTally(options: OutputTallyOptions): OutputTally {
  return new Tally(options);
}
