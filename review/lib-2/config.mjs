/** Configuration of the site, with the kinds and times of the Stille Vaart sheet. */
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 };

const engine = { slots: 64, kvCapacity: 326_991 };

export const LANGUAGE = 'vaart-lm';
export const BOOKING = 'boekingen';
/** A second service for bookings, to which a route can be moved. */
export const OTHER_BOOKING = 'boekingen-2';

export const formatConfig = ({ version = 1, statusService = BOOKING, letterTimeoutMs = 6_000 } = {}) => ({
  version,
  limits: LIMITS,
  routes: [
    {
      name: 'quay-chat',
      host: 'chat.example',
      prefix: '/chat/',
      kind: 'streaming',
      canResume: true,
      service: LANGUAGE,
      timeoutMs: 15_000,
      sloMs: 1_600,
      gapSloMs: 250,
      priority: 2,
      attempts: 2,
    },
    {
      name: 'family-letter',
      host: 'letter.example',
      prefix: '/letter/',
      kind: 'streaming',
      service: LANGUAGE,
      timeoutMs: letterTimeoutMs,
      sloMs: 2_500,
      gapSloMs: 250,
      priority: 1,
      attempts: 1,
    },
    {
      name: 'voyage-book',
      host: 'book.example',
      prefix: '/book/',
      kind: 'non_idempotent',
      service: BOOKING,
      timeoutMs: 1_500,
      sloMs: 300,
      priority: 2,
      attempts: 1,
    },
    {
      name: 'voyage-status',
      host: 'status.example',
      prefix: '/status/',
      kind: 'idempotent',
      service: statusService,
      timeoutMs: 1_500,
      sloMs: 300,
      priority: 2,
      attempts: 2,
    },
  ],
  services: [
    { name: LANGUAGE, healthPath: '/health', maxConnections: 280, engine },
    { name: BOOKING, healthPath: '/health', maxConnections: 51 },
    { name: OTHER_BOOKING, healthPath: '/health', maxConnections: 51 },
  ],
});

/** Zones of the entry hosts, in the numbers of the sheet. */
export const HOSTS = [
  ...['ijmuiden-a', 'ijmuiden-a', 'ijmuiden-a'],
  ...['harlingen-a', 'harlingen-a', 'harlingen-a'],
  ...['den-helder-b', 'den-helder-b'],
];
