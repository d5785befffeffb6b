/** One entry of the metric catalogue. */
export interface MetricSpec {
  readonly type: 'counter' | 'gauge' | 'timing';
  readonly unit: string;
  readonly tags: readonly string[];
  readonly text: string;
}

/** Every metric that the system reports. */
export const METRICS = {
  'request.count': { type: 'counter', unit: '1', tags: ['service', 'result'], text: 'Requests finished, by result.' },
  'request.duration': { type: 'timing', unit: 'ms', tags: ['service', 'result'], text: 'Time from arrival to answer.' },
  'request.in_flight': { type: 'gauge', unit: '1', tags: [], text: 'Requests accepted and not yet finished.' },
  'attempt.count': { type: 'counter', unit: '1', tags: ['pool', 'result'], text: 'Attempts on backend servers.' },
  'attempt.duration': { type: 'timing', unit: 'ms', tags: ['pool'], text: 'Time of one attempt.' },
  'config.version': { type: 'gauge', unit: '1', tags: ['service'], text: 'Version of the document in force.' },
  'store.calls': { type: 'counter', unit: '1', tags: ['call', 'result'], text: 'Calls to the configuration store.' },
} as const satisfies Record<string, MetricSpec>;

/** Name of a catalogued metric. */
export type MetricName = keyof typeof METRICS;
