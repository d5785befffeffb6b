import {
  advancePoison,
  createOutputHistory,
  findCrashingParts,
  listPartSuspects,
  noteCrash,
  MIN_SURVIVAL_MS,
  POISON_BLOCK_MS,
  type PartEvidence,
  type PoisonState,
} from '@bergamotcove/decide';
import createRandom from '../faults/createRandom.js';
import type { PartModel, PartModelResult } from './types.js';

const TICK_MS = 10;
const POOL = 'engines';
const FIRST_PARTS = 4;
const SUBJECTS_PER_SERVER = 15;
const DOWN_MS = 3_000;
/** Time from sending to the first output: a minimum and an exponential part. */
const MIN_OUTPUT_MS = 60;
const MEAN_OUTPUT_MS = 400;
/** Share of the sends that go to the server that last read the subject. */
const STICKY_SHARE = 0.7;
/** Delays before the repeats of a lost prompt: by its host, by its caller, and by the host again. */
const REPEAT_DELAYS_MS: readonly number[] = [20, 500, 20];
/** Delays of the rounds in which parts are judged after a crash; crashes of this interval share a round. */
const ROUND_DELAYS_MS: readonly number[] = [100, 700];
const ROUND_INTERVAL_MS = 100;

interface Prompt {
  readonly fingerprint: string;
  readonly parts: readonly string[];
  sends: number;
}

interface ModelServer {
  readonly name: string;
  starts: number;
  isUp: boolean;
  readonly waiting: Set<Prompt>;
  /** Prompts with output in the last {@link MIN_SURVIVAL_MS}. */
  recent: readonly { readonly prompt: Prompt; readonly atMs: number }[];
}

const nameCrashingPart = (index: number): string => `x${index}`;

const nameProcess = ({ name, starts }: ModelServer): string => `${name}-${starts}`;

class PartModelRun {
  private nowMs = 0;

  private readonly random;

  private readonly servers: readonly ModelServer[];

  private readonly tasks = new Map<number, (() => void)[]>();

  private readonly history = createOutputHistory();

  private state: PoisonState = { crashes: [], blocks: new Map() };

  private readonly crashingNames: readonly string[];

  private readonly crashTimesMs: number[][];

  private readonly blockedAtMs = new Map<string, number>();

  private readonly rounds = new Set<number>();

  private prompts = 0;

  private sound = 0;

  private refused = 0;

  constructor(private readonly model: PartModel) {
    this.random = createRandom(model.seed, 'part-model');
    this.servers = Array.from({ length: model.servers }, (_, index) => ({
      name: `s${index}`,
      starts: 0,
      isUp: true,
      waiting: new Set<Prompt>(),
      recent: [],
    }));
    this.crashingNames = model.crashingParts.map((_, index) => nameCrashingPart(index));
    this.crashTimesMs = model.crashingParts.map(() => []);
    model.outages.forEach(({ atMs, share, spreadMs }) => {
      const count = Math.round(share * model.servers);
      const from = Math.floor(this.random() * model.servers);
      for (let index = 0; index < count; index += 1) {
        const server = this.servers[(from + index) % model.servers] as ModelServer;
        this.schedule(atMs + (spreadMs * index) / count, () => this.crash(server));
      }
    });
  }

  run(): PartModelResult {
    const { lengthMs, servers, promptsPerSecond, crashingParts } = this.model;
    const perTick = (servers * promptsPerSecond * TICK_MS) / 1_000;
    for (; this.nowMs < lengthMs; this.nowMs += TICK_MS) {
      this.tasks.get(this.nowMs)?.forEach((task) => task());
      this.tasks.delete(this.nowMs);
      for (let open = perTick; open > 0; open -= 1) {
        if (this.random() < open) {
          this.arrive();
        }
      }
    }
    return {
      prompts: this.prompts,
      crashesUntilFound: this.crashingNames.map((part, index) => {
        const untilMs = this.blockedAtMs.get(part) ?? Infinity;
        return (this.crashTimesMs[index] ?? []).filter((atMs) => atMs <= untilMs).length;
      }),
      foundAfterMs: crashingParts.map((_, index) => {
        const blockedAtMs = this.blockedAtMs.get(this.crashingNames[index] ?? '');
        return blockedAtMs === undefined ? undefined : blockedAtMs - (this.crashTimesMs[index]?.[0] ?? 0);
      }),
      falselyBlocked: [...this.blockedAtMs.keys()].filter((part) => !this.crashingNames.includes(part)),
      refusedShare: this.refused / Math.max(1, this.sound),
    };
  }

  private schedule(atMs: number, task: () => void): void {
    const tickMs = Math.max(this.nowMs + TICK_MS, Math.ceil(atMs / TICK_MS) * TICK_MS);
    const tasks = this.tasks.get(tickMs) ?? [];
    tasks.push(task);
    this.tasks.set(tickMs, tasks);
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }

  private arrive(): void {
    this.prompts += 1;
    const subject = `b${this.pick(this.model.servers * SUBJECTS_PER_SERVER)}`;
    const first = `a${this.pick(FIRST_PARTS)}`;
    const drawn = this.model.crashingParts.findIndex(({ share }) => this.random() < share);
    const isFirst = this.model.crashingParts[drawn]?.place === 'first';
    const crashing = this.crashingNames[drawn];
    const soundParts = [isFirst && crashing !== undefined ? crashing : first, subject];
    const parts = isFirst || crashing === undefined ? soundParts : [...soundParts, crashing];
    const prompt: Prompt = { fingerprint: `r${this.prompts}`, parts, sends: 0 };
    const isSound = this.findCrashingPart(prompt) === undefined;
    this.sound += isSound ? 1 : 0;
    this.refused += isSound && this.isBlocked(prompt) ? 1 : 0;
    this.send(prompt);
  }

  private isBlocked({ parts, fingerprint }: Prompt): boolean {
    return this.state.blocks.has(fingerprint) || parts.some((part) => this.state.blocks.has(part));
  }

  /** Index of the crashing part of a prompt, if it has one by now. */
  private findCrashingPart({ parts }: Prompt): number | undefined {
    const index = this.crashingNames.findIndex(
      (part, each) => parts.includes(part) && (this.model.crashingParts[each]?.fromMs ?? 0) <= this.nowMs,
    );
    return index === -1 ? undefined : index;
  }

  private place({ parts: [, subject = ''] }: Prompt): ModelServer | undefined {
    const home = this.servers[Number(subject.slice(1)) % this.servers.length];
    if (home?.isUp === true && this.random() < STICKY_SHARE) {
      return home;
    }
    const up = this.servers.filter(({ isUp }) => isUp);
    return up[this.pick(up.length)];
  }

  private send(sent: Prompt): void {
    const prompt = sent;
    const server = this.isBlocked(prompt) ? undefined : this.place(prompt);
    if (server === undefined) {
      return;
    }
    prompt.sends += 1;
    server.waiting.add(prompt);
    const outputMs = MIN_OUTPUT_MS - Math.log(1 - this.random()) * MEAN_OUTPUT_MS;
    const { starts } = server;
    this.schedule(this.nowMs + outputMs, () => {
      if (server.starts === starts && server.waiting.has(prompt)) {
        this.produce(server, prompt);
      }
    });
  }

  private produce(producer: ModelServer, prompt: Prompt): void {
    const server = producer;
    if (this.isBlocked(prompt)) {
      server.waiting.delete(prompt);
      return;
    }
    const crashing = this.findCrashingPart(prompt);
    if (crashing !== undefined) {
      this.crashTimesMs[crashing]?.push(this.nowMs);
      this.crash(server);
      return;
    }
    server.waiting.delete(prompt);
    server.recent = [
      ...server.recent.filter(({ atMs }) => this.nowMs - atMs < MIN_SURVIVAL_MS),
      { prompt, atMs: this.nowMs },
    ];
    this.history.note({ serverId: nameProcess(server), pool: POOL, parts: prompt.parts }, this.nowMs);
  }

  private crash(crashed: ModelServer): void {
    const server = crashed;
    if (!server.isUp) {
      return;
    }
    const recent = server.recent.filter(({ atMs }) => this.nowMs - atMs < MIN_SURVIVAL_MS).map(({ prompt }) => prompt);
    const lost = [...server.waiting, ...recent];
    const serverId = nameProcess(server);
    this.history.noteEnded(serverId, this.nowMs);
    this.noteCrash(serverId, lost);
    server.isUp = false;
    server.starts += 1;
    server.waiting.clear();
    server.recent = [];
    this.schedule(this.nowMs + DOWN_MS, () => {
      server.isUp = true;
    });
    lost.forEach((prompt) => {
      const delayMs = REPEAT_DELAYS_MS[prompt.sends - 1];
      if (delayMs !== undefined) {
        this.schedule(this.nowMs + delayMs, () => this.send(prompt));
      }
    });
  }

  private noteCrash(serverId: string, lost: readonly Prompt[]): void {
    const fingerprints = lost.map(({ fingerprint }) => fingerprint);
    const event = { type: 'crash', serverId, pool: POOL, fingerprints, prompts: lost } as const;
    this.state = noteCrash(this.state, event, this.nowMs).state;
    ROUND_DELAYS_MS.forEach((delayMs) => {
      const atMs = Math.ceil((this.nowMs + delayMs) / ROUND_INTERVAL_MS) * ROUND_INTERVAL_MS;
      if (!this.rounds.has(atMs)) {
        this.rounds.add(atMs);
        this.schedule(atMs, () => this.judge());
      }
    });
  }

  private judge(): void {
    const { parts, crashes } = listPartSuspects(this.state, POOL, this.nowMs);
    if (parts.length === 0) {
      return;
    }
    const crashesAtMs = crashes.map(({ atMs }) => atMs);
    const summary = this.history.summarise({ pool: POOL, parts, crashesAtMs }, this.nowMs);
    const lastOutputsAtMs = new Map(parts.map((part, index) => [part, summary.lastOutputsAtMs[index]]));
    const evidence: PartEvidence = {
      lastOutputAtMs: (part) => lastOutputsAtMs.get(part),
      countOutputs: (fromMs, toMs) =>
        summary.outputCounts
          .filter((_, index) => (crashesAtMs[index] ?? 0) >= fromMs && (crashesAtMs[index + 1] ?? 0) <= toMs)
          .reduce((sum, count) => sum + count, 0),
    };
    findCrashingParts(crashes, parts, evidence).blamed.forEach(({ part }) => {
      const block = { type: 'block', fingerprint: part, remainingMs: POISON_BLOCK_MS } as const;
      this.state = advancePoison(this.state, block, this.nowMs).state;
      this.blockedAtMs.set(part, this.nowMs);
    });
  }
}

/**
 * Runs the decision about crashing parts on a modelled pool: servers with a queue each, prompts with shared parts that
 * stay with a server, repeats by hosts and callers, outages, and parts that crash servers. All hosts know all crashes
 * and outputs at once; what is measured is the decision.
 *
 * @param model - pool, traffic, faults and seed
 * @returns crashes until each part was found, and parts that were blocked falsely
 */
export default function runPartModel(model: PartModel): PartModelResult {
  return new PartModelRun(model).run();
}
