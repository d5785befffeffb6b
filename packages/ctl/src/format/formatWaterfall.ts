import type { SpanAnswer } from '../hosts/schemas.js';

/** Options of {@link formatWaterfall}. */
export interface WaterfallOptions {
  /** Width of the terminal. */
  readonly columns: number;
}

/** One line of the waterfall. */
interface Row {
  readonly span: SpanAnswer;
  readonly label: string;
  readonly place: string;
}

const MIN_BAR_COLUMNS = 20;
const DURATION_COLUMNS = 11;
const INDENT = '  ';

const byStart = (a: SpanAnswer, b: SpanAnswer): number => a.startMs - b.startMs || a.spanId.localeCompare(b.spanId);

const describePlace = ({ attributes }: SpanAnswer): string =>
  [attributes.hostId, attributes.serverId].filter((value) => value !== undefined).join(' > ');

const toRows = (spans: readonly SpanAnswer[]): readonly Row[] => {
  const known = new Set(spans.map((span) => span.spanId));
  const visit = (span: SpanAnswer, depth: number, seen: ReadonlySet<string>): readonly Row[] => {
    const children = spans.filter((child) => child.parentSpanId === span.spanId && !seen.has(child.spanId));
    const label = `${INDENT.repeat(depth)}${span.name}${span.ok ? '' : ' (failed)'}`;
    const seenBelow = new Set([...seen, ...children.map((child) => child.spanId)]);
    return [
      { span, label, place: describePlace(span) },
      ...children.sort(byStart).flatMap((child) => visit(child, depth + 1, seenBelow)),
    ];
  };
  const isRoot = ({ parentSpanId }: SpanAnswer): boolean => parentSpanId === undefined || !known.has(parentSpanId);
  return spans
    .filter(isRoot)
    .sort(byStart)
    .flatMap((root) => visit(root, 0, new Set([root.spanId])));
};

const drawBar = (
  span: SpanAnswer,
  range: { readonly startMs: number; readonly totalMs: number; readonly columns: number },
): string => {
  const scale = range.columns / Math.max(range.totalMs, Number.EPSILON);
  const from = Math.min(range.columns - 1, Math.floor((span.startMs - range.startMs) * scale));
  const length = Math.max(1, Math.min(range.columns - from, Math.round(span.durationMs * scale)));
  return `${' '.repeat(from)}${'█'.repeat(length)}`.padEnd(range.columns);
};

const formatDuration = (durationMs: number): string => `${durationMs.toFixed(2)} ms`.padStart(DURATION_COLUMNS);

/**
 * Draws the spans of one trace as a waterfall: one line per span, children below their parent, bars on a common time
 * axis. Start times are wall times of the hosts, so clock differences between hosts shift their bars.
 *
 * @param spans - spans of the trace; a span that two hosts returned is drawn once
 * @param options - width of the terminal
 * @returns the lines
 * @example
 * console.log(formatWaterfall(spans, { columns: 100 }));
 */
export default function formatWaterfall(spans: readonly SpanAnswer[], options: WaterfallOptions): string {
  const unique = [...new Map(spans.map((span) => [span.spanId, span])).values()];
  const rows = toRows(unique);
  const startMs = Math.min(...unique.map((span) => span.startMs));
  const endMs = Math.max(...unique.map((span) => span.startMs + span.durationMs));
  const totalMs = endMs - startMs;
  const labelColumns = Math.max(...rows.map((row) => row.label.length));
  const placeColumns = Math.max(...rows.map((row) => row.place.length));
  const free = options.columns - labelColumns - placeColumns - DURATION_COLUMNS - 6;
  const columns = Math.max(MIN_BAR_COLUMNS, free);
  const lines = rows.map(({ span, label, place }) => {
    const bar = drawBar(span, { startMs, totalMs, columns });
    return `${label.padEnd(labelColumns)}  ${place.padEnd(placeColumns)}  |${bar}|${formatDuration(span.durationMs)}`;
  });
  const title = `trace ${unique[0]?.traceId ?? ''}: ${unique.length} spans, ${totalMs.toFixed(2)} ms`;
  return [title, ...lines].join('\n');
}
