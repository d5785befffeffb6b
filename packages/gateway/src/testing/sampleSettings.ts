/** Contents of a valid settings file of a gateway, for tests to modify. */
const SAMPLE_SETTINGS = {
  resources: { cpuShare: 0.675, coreSpeed: 1, linkMbps: 1_000 },
  host: { id: 'a1', address: '10.0.0.1', failureDomain: 'a', regions: { a: 'r1' } },
  callers: '10.0.0.1:80',
  health: '10.0.0.1:81',
  peerPorts: [7_000, 7_010],
  metrics: { port: 9_464, path: '/metrics' },
  store: '10.0.0.9:90',
  retries: { ratio: 0.2, slack: 50, windowSeconds: 10 },
  stop: { graceSeconds: 8 },
};

export default SAMPLE_SETTINGS;
