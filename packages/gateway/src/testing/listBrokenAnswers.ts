/** An answer that a host in trouble may give to any call. */
export interface BrokenAnswer {
  readonly name: string;
  readonly answer: unknown;
}

const DEEP_LEVELS = 2_000;

const nest = (levels: number): unknown => {
  let value: unknown = 1;
  for (let level = 0; level < levels; level += 1) {
    value = [value];
  }
  return value;
};

/** Lists answers that are of no method: wrong types, missing fields, and packed messages that cannot be unpacked. */
export default function listBrokenAnswers(): readonly BrokenAnswer[] {
  const answers: Readonly<Record<string, unknown>> = {
    null: null,
    'a flag': true,
    'a number': 5,
    'a text': 'abc',
    'an empty list': [],
    'a list of null': [null],
    'nested lists': nest(DEEP_LEVELS),
    'a type that is unknown': { type: 'odd' },
    'a type that is no text': { type: 5 },
    'a type that all objects have': { type: 'toString' },
    'a permission without fields': { type: 'granted' },
    'a permission with notices of null': { type: 'granted', serverId: 's1', notices: [null] },
    'a permission with notices that are no list': { type: 'granted', serverId: 's1', notices: 5 },
    'a delay without fields': { type: 'later' },
    'an admission without fields': { type: 'admitted' },
    'an admission with regions of null': { type: 'admitted', tier: 'late', regions: [null] },
    'an admission elsewhere without a region': { type: 'elsewhere' },
    'a refusal without fields': { type: 'refused' },
    'an engine that is no text': { serverId: 5 },
    'a finished job without results': { type: 'done' },
    'a finished job with results of null': { type: 'done', results: [null] },
    'a finished job with too few results': { type: 'done', results: [] },
    'a failed job without a reason': { type: 'failed' },
    'outputs that are no lists': { lastOutputAgesMs: 5, outputCounts: 5 },
    'outputs of texts': { lastOutputAgesMs: ['x'], outputCounts: ['x'] },
    'a compressed message that is none': { type: 'gzip', base64: 'AAAA' },
    'a message that is no JSON': { type: 'plain', text: '{' },
    'a message that is null': { type: 'plain', text: 'null' },
    'a state with servers that are no list': { type: 'plain', text: '{"servers":{"servers":null,"revision":99}}' },
    'a state with servers of null': { type: 'plain', text: '{"servers":{"servers":[null],"revision":99}}' },
    'a state with a table that is no object': { type: 'plain', text: '{"table":5}' },
    'a state with evacuations without domains': { type: 'plain', text: '{"evacuations":{"era":9,"revision":9}}' },
    'a state with blocks of null': { type: 'plain', text: '{"blocks":[null]}' },
    'a state with hosts that are no list': { type: 'plain', text: '{"hosts":5}' },
    'a snapshot with entries of null': { type: 'plain', text: '{"revision":99,"entries":[null]}' },
    'changes of null': { type: 'plain', text: '{"fromRevision":0,"toRevision":99,"changes":[null]}' },
  };
  return Object.entries(answers).map(([name, answer]) => ({ name, answer }));
}
