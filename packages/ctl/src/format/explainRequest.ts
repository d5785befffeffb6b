/** One line of a structured log. */
export interface LogLine {
  readonly timeMs: number;
  readonly name: string;
  readonly level: string;
  readonly hostId: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs say about one request. */
export interface RequestExplanation {
  /** Lines of the request, sorted by time. */
  readonly own: readonly LogLine[];
  /** Lines of its hosts and servers from shortly before its start to its end. */
  readonly around: readonly LogLine[];
  /** Why it ended; undefined when no line says so. */
  readonly cause: string | undefined;
}

/** Time before the start of a request in which related lines are looked for. */
const BEFORE_MS = 5_000;

/** Texts for the reasons in the lines `requestEnded` and `requestDenied`. */
const REASONS: ReadonlyMap<unknown, string> = new Map([
  ['answered', 'it was answered by a backend server'],
  ['streamed', 'its stream was passed on completely'],
  ['caller-gone', 'its caller closed the connection first'],
  ['overloaded', 'it would not have been served in time, see decision and expected times'],
  ['stopping', 'the host was stopping and would have cut it off'],
  ['no-server', 'no live server of its pool was known to the host'],
  ['deadline-passed', 'a stage was not done in time, see stageTimesMs'],
  ['limited', 'all servers have rate limits and its turn comes too late, see limitedServerIds'],
  ['overtaken', 'it would have been late, and requests of higher priority kept its stage busy, see stageTimesMs'],
  ['timed-out', 'its deadline or the time-out of its route passed, see the times reached'],
  ['attempts-exhausted', 'its attempts gave no answer and it could not be sent again, see attemptEnded'],
  ['internal-error', 'serving it threw an exception, see processFailed'],
  ['stream-broken', 'its stream broke off and could not be resumed on another server'],
  ['poisoned', 'it, or a part of its prompt, crashed servers and is blocked, see blockedBy'],
  ['no-route', 'no route of the table in force matches its host and path'],
  ['unknown-key', 'its key is not in the table in force'],
  ['no-route-table', 'the host knew no route table yet'],
  ['bad-request', 'it had no request id'],
  ['body-too-large', 'its body is larger than the limit'],
  ['body-too-slow', 'its body stopped arriving, or was not complete before its deadline'],
  ['headers-too-large', 'its headers are larger than the limit'],
]);

const parseLine = (text: string): LogLine | undefined => {
  // Log collectors may put their own time and host before the JSON object.
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  try {
    const { time, name, level, hostId, event, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
    return typeof time === 'number' && typeof name === 'string' && event !== undefined
      ? { timeMs: time, name, level: String(level), hostId: String(hostId), fields }
      : undefined;
  } catch {
    return undefined;
  }
};

const listServers = (own: readonly LogLine[]): ReadonlySet<unknown> =>
  new Set(own.flatMap(({ fields }) => [fields.serverId, ...(Array.isArray(fields.serverIds) ? fields.serverIds : [])]));

const findCause = (own: readonly LogLine[]): string | undefined => {
  const last = own.findLast(({ name }) => name === 'requestEnded' || name === 'requestDenied');
  const reason = last?.fields.reason;
  const status = last?.fields.status;
  return last === undefined ? undefined : `status ${String(status)}: ${REASONS.get(reason) ?? String(reason)}`;
};

/**
 * Collects what structured logs say about a request: its own lines, and those of its hosts and servers around it.
 *
 * @param text - log lines of any number of hosts; lines that are not events are skipped
 * @param requestId - id of the request
 * @returns the explanation; without lines when the request is not in the logs
 */
export default function explainRequest(text: string, requestId: string): RequestExplanation {
  const lines = text.split('\n').flatMap((line) => parseLine(line) ?? []);
  const own = lines
    .filter(({ fields }) => fields.requestId === requestId)
    .sort((a, b) => a.timeMs - b.timeMs || Number(a.name === 'requestEnded') - Number(b.name === 'requestEnded'));
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return { own: [], around: [], cause: undefined };
  }
  const hosts = new Set(own.map(({ hostId }) => hostId));
  const servers = listServers(own);
  const elapsedMs = Number(last.fields.totalMs ?? 0);
  const startMs = Math.min(first.timeMs, last.timeMs - elapsedMs);
  const isRelated = ({ level, hostId, fields }: LogLine): boolean =>
    (fields.serverId !== undefined && servers.has(fields.serverId)) || (hosts.has(hostId) && level !== 'info');
  const around = lines
    .filter((line) => line.fields.requestId === undefined && isRelated(line))
    .filter(({ timeMs }) => timeMs >= startMs - BEFORE_MS && timeMs <= last.timeMs)
    .sort((a, b) => a.timeMs - b.timeMs);
  return { own, around, cause: findCause(own) };
}
