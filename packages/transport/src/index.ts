/** HTTP, event streams and peer messages over sockets. */
export { default as TransportError } from './TransportError.js';
export type { TransportErrorCode } from './TransportError.js';
export { default as createHttpClient } from './createHttpClient.js';
export type { HttpClient, HttpRequest, HttpResponse, Target } from './createHttpClient.js';
export { default as createHttpServer, sendJson } from './createHttpServer.js';
export type { HttpExchange, HttpHandler, HttpServer, HttpServerOptions } from './createHttpServer.js';
export { default as formatStreamEvent } from './formatStreamEvent.js';
export { default as parseEventStream } from './parseEventStream.js';
export type { StreamEvent } from './parseEventStream.js';
export { default as readBody, MAX_BODY_BYTES } from './readBody.js';
export { default as createPeerClient } from './peers/createPeerClient.js';
export type { PeerCallOptions, PeerClient } from './peers/createPeerClient.js';
export { default as createPeerServer } from './peers/createPeerServer.js';
export type { PeerMethod, PeerServer } from './peers/createPeerServer.js';
