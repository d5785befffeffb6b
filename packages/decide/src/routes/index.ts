/** Route lookup by host name and path, and organisation lookup by key. */
export { default as indexRoutes } from './indexRoutes.js';
export type { RouteIndex } from './indexRoutes.js';
export { default as matchRoute } from './matchRoute.js';
