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
  'route.requests': { type: 'counter', unit: '1', tags: ['route', 'result'], text: 'Requests of a route, by result.' },
  'route.duration': { type: 'timing', unit: 'ms', tags: ['route', 'result'], text: 'Time from arrival to answer.' },
  'route.first_byte': { type: 'timing', unit: 'ms', tags: ['route'], text: 'Time from arrival to the first byte.' },
  'request.rejected': { type: 'counter', unit: '1', tags: ['reason'], text: 'Requests that reached no route.' },
  'pool.attempts': { type: 'counter', unit: '1', tags: ['pool', 'result'], text: 'Attempts on servers of a pool.' },
  'pool.retries_denied': { type: 'counter', unit: '1', tags: ['pool'], text: 'Retries denied by the retry budget.' },
  'pool.refusals_unproved': {
    type: 'counter',
    unit: '1',
    tags: ['pool', 'status'],
    text: 'Refusals of servers without the statement that nothing was run; their callers got 502.',
  },
  'pool.calls': { type: 'counter', unit: '1', tags: ['pool', 'result'], text: 'Calls to stage servers.' },
  'pool.call_duration': { type: 'timing', unit: 'ms', tags: ['pool'], text: 'Time of one call to a stage server.' },
  'pool.pieces': { type: 'counter', unit: '1', tags: ['pool'], text: 'Pieces sent to stage servers.' },
  'host.evacuated_domains': {
    type: 'gauge',
    unit: '1',
    tags: [],
    text: 'Failure domains whose servers get nothing new from this host.',
  },
  'pool.servers': { type: 'gauge', unit: '1', tags: ['pool'], text: 'Servers that may get new work.' },
  'pool.servers_shunned': {
    type: 'gauge',
    unit: '1',
    tags: ['pool'],
    text: 'Listed servers that this host does not use, because they announced that they leave or asked for a pause.',
  },
  'pool.servers_limited': {
    type: 'gauge',
    unit: '1',
    tags: ['pool'],
    text: 'Servers that have stated how many requests a second they take from all hosts.',
  },
  'pool.servers_paced': {
    type: 'gauge',
    unit: '1',
    tags: ['pool'],
    text: 'Servers that are held to a pace because they started or recovered.',
  },
  'pace.sends_denied': {
    type: 'counter',
    unit: '1',
    tags: ['pool'],
    text: 'Sends that this host denied to cold servers: it has no news of the store, or they tolerate too few requests.',
  },
  'streams.origin_writes': {
    type: 'counter',
    unit: '1',
    tags: ['result'],
    text: 'Writes of the origins of streams to the store; one may hold many origins.',
  },
  'streams.process_checks': {
    type: 'counter',
    unit: '1',
    tags: ['result'],
    text: 'Questions to servers for their start before streams are sent over a new connection.',
  },
  'streams.misplaced_events': {
    type: 'counter',
    unit: '1',
    tags: ['pool'],
    text: 'Streams of servers that ended early because an event did not follow the last one that the caller has.',
  },
  'streams.taken_up': {
    type: 'counter',
    unit: '1',
    tags: ['result'],
    text: 'Requests that take a stream up, by where its origin was found, or why it was not.',
  },
  'limit.sends': {
    type: 'counter',
    unit: '1',
    tags: ['pool', 'result'],
    text: 'Requests for a send to a server with a rate limit that this host has decided, by result.',
  },
  'server.losses': {
    type: 'counter',
    unit: '1',
    tags: ['verdict'],
    text: 'Attempts that lost their server, by whether it is known to have crashed.',
  },
  'request.blocks': {
    type: 'counter',
    unit: '1',
    tags: [],
    text: 'Requests that were blocked because servers crashed.',
  },
  'part.blocks': {
    type: 'counter',
    unit: '1',
    tags: [],
    text: 'Parts of prompts that were blocked because servers crashed.',
  },
  'connections.refused': {
    type: 'counter',
    unit: '1',
    tags: ['reason', 'carried'],
    text: 'Connections of callers that get no further request, by reason and by what they carried then.',
  },
  'connections.limited': {
    type: 'counter',
    unit: '1',
    tags: ['listener', 'limit'],
    text: 'Connections that were closed because a limit of their listener was reached, by listener and limit.',
  },
  'host.open_requests': { type: 'gauge', unit: '1', tags: [], text: 'Requests of callers without a complete answer.' },
  'host.memory_bytes': { type: 'gauge', unit: 'B', tags: [], text: 'Resident memory of the process.' },
  'host.peers': { type: 'gauge', unit: '1', tags: [], text: 'Hosts of the system that are listed.' },
  'host.ready': { type: 'gauge', unit: '1', tags: [], text: '1 while the host accepts requests.' },
  'host.port_errors': {
    type: 'counter',
    unit: '1',
    tags: [],
    text: 'Connections or ports that a server could not get.',
  },
  'table.version': { type: 'gauge', unit: '1', tags: [], text: 'Version of the route table in force.' },
  'store.era': { type: 'gauge', unit: '1', tags: [], text: 'Era of the store; grows when it is restored from a copy.' },
  'store.connected': { type: 'gauge', unit: '1', tags: [], text: '1 while the store answers.' },
} as const satisfies Record<string, MetricSpec>;

/** Name of a catalogued metric. */
export type MetricName = keyof typeof METRICS;
