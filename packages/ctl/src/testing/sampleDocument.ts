/** Builds a small valid document as an operator writes it. */
export default function sampleDocument(deadlineMs = 3_000): object {
  return {
    service: 'clerk',
    team: 'clerk-team',
    deadlineMs,
    stages: ['encode', 'retrieve', 'rerank'].map((kind) => ({ name: kind, kind, pool: `${kind}-pool` })),
    operations: [{ name: 'find', idempotent: true, priority: 'interactive' }],
    organisations: { default: { requestsPerSecond: 10, tokensPerSecond: 100 } },
  };
}
