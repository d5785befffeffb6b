/** Routes: from a caller's host name, path and key to what serves the request. */
export { default as indexRoutes } from './indexRoutes.js';
export type { RouteIndex } from './indexRoutes.js';
export { default as matchRoute } from './matchRoute.js';
