import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import createSmallReadConnection from './_lib/createSmallReadConnection.js';
import detectCut from './_lib/detectCut.js';
import createKeepAliveAgent, { type KeepAliveAgentOptions } from './_lib/createKeepAliveAgent.js';
import endsWithConnection from './endsWithConnection.js';
import isReaderFault from './isReaderFault.js';
import readBody from './readBody.js';
import TransportError from './TransportError.js';

/** Address of another process. */
export interface Target {
  readonly address: string;
  readonly port: number;
}

/** One HTTP request. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** Values by name, or a list of alternating names and values that is sent in this order and spelling. */
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  readonly body?: string | Uint8Array;
  readonly signal?: AbortSignal;
  /** Called once connected, just before the first byte of the request is written. */
  readonly onSending?: () => void;
  /** Called once connected; false cancels the request as `not-connected` before any byte is written. */
  readonly maySend?: (socket: Socket) => boolean;
  /**
   * Sends the headers with `Expect: 100-continue`, and the body only after the server has answered `100 Continue`.
   * Without that answer within this time, the request fails as `not-connected`: a server cannot execute a request whose
   * body it never received.
   */
  readonly expectContinueMs?: number;
  /** Time limit for establishing a new connection; then the request fails as `not-connected`. */
  readonly connectLimitMs?: number;
  /** Opens a new connection for this request, because a reused one may break before the server reads the request. */
  readonly freshConnection?: boolean;
}

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions extends Partial<KeepAliveAgentOptions> {
  /** Called with each exception that was thrown while a response was read; its request has failed. */
  readonly onFault?: (error: Error) => void;
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends requests over kept-alive connections. */
export interface HttpClient {
  /** Sends a request and reads the complete response. */
  send(target: Target, request: HttpRequest): Promise<HttpResponse>;
  /** Sends a request and resolves with the response as soon as its headers arrive. */
  open(target: Target, request: HttpRequest): Promise<IncomingMessage>;
  /** Idle connection that the next request to a target uses unless it needs a fresh one. */
  findIdle(target: Target): Socket | undefined;
  /** Closes every connection; later requests fail as `not-connected`. */
  close(): void;
}

const toTransportError = (cause: Error, aborted: boolean, sent: boolean): TransportError => {
  if (aborted) {
    return new TransportError('aborted', 'request was cancelled or timed out', { cause });
  }
  return sent
    ? new TransportError('connection-lost', 'connection broke after the request was sent', { cause })
    : new TransportError('not-connected', 'no connection could be established', { cause });
};

/**
 * Runs the callback once the request has a connection. On a reused one it waits for a turn of the event loop, so that
 * bytes that had already arrived are read before the request is sent.
 */
const whenConnected = (outgoing: http.ClientRequest, run: (socket: Socket) => void): void => {
  outgoing.on('socket', (socket) => {
    if (socket.connecting) {
      socket.once('connect', () => run(socket));
    } else {
      setImmediate(run, socket);
    }
  });
};

const hasHostHeader = (headers: readonly string[]): boolean =>
  headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'host');

/** Adds the host and the content length to a list of headers, because Node does not do so for a list. */
const formatHeaderList = (headers: readonly string[], target: Target, request: HttpRequest): readonly string[] => [
  ...(hasHostHeader(headers) ? [] : ['Host', `${target.address}:${target.port}`]),
  ...headers,
  ...(request.body === undefined ? [] : ['Content-Length', String(Buffer.byteLength(request.body))]),
];

const formatHeaders = (target: Target, request: HttpRequest): http.OutgoingHttpHeaders | readonly string[] => {
  const { headers = {}, body = '', expectContinueMs } = request;
  if (Array.isArray(headers)) {
    return formatHeaderList(headers as readonly string[], target, request);
  }
  return {
    ...headers,
    'content-length': Buffer.byteLength(body),
    ...(expectContinueMs === undefined ? {} : { expect: '100-continue' }),
  };
};

const formatOptions = (target: Target, request: HttpRequest, agent: http.Agent): http.RequestOptions => ({
  agent,
  host: target.address,
  port: target.port,
  method: request.method,
  path: request.path,
  headers: formatHeaders(target, request),
});

/** Cancels a request whose new connection is not established within the limit. */
const setConnectTimeout = (outgoing: ClientRequest, limitMs: number | undefined): void => {
  if (limitMs === undefined) {
    return;
  }
  outgoing.on('socket', (socket) => {
    if (!socket.connecting) {
      return;
    }
    const timer = setTimeout(() => outgoing.destroy(new Error('the connection was not established in time')), limitMs);
    const stop = (): void => clearTimeout(timer);
    socket.once('connect', stop);
    socket.once('close', stop);
  });
};

/** Time for a server to read the rest of a request that it has answered; a server that reads is faster by far. */
const REST_LIMIT_MS = 10_000;

/**
 * Cancels a request on abort. Node's own option `signal` is not used, because it attaches further listeners to request
 * and response. The abort that follows a whole response leaves the request alone until it is written: its server may
 * read on, and has been promised the rest.
 */
const destroyOnAbort = (outgoing: ClientRequest, signal: AbortSignal | undefined): void => {
  if (signal === undefined) {
    return;
  }
  let isAnswered = (): boolean => false;
  outgoing.once('response', (response) => {
    isAnswered = () => response.complete;
  });
  const cancel = (): void => {
    outgoing.destroy(new Error('the request was cancelled'));
  };
  const destroy = (): void => {
    if (!isAnswered() || outgoing.writableFinished) {
      cancel();
      return;
    }
    const timer = setTimeout(cancel, REST_LIMIT_MS);
    outgoing.once('close', () => clearTimeout(timer));
  };
  if (signal.aborted) {
    destroy();
    return;
  }
  signal.addEventListener('abort', destroy, { once: true });
  outgoing.once('close', () => signal.removeEventListener('abort', destroy));
};

/** Runs the callback when the server answers `100 Continue`; cancels the request when it does not answer in time. */
const whenContinued = (outgoing: ClientRequest, limitMs: number, run: () => void): void => {
  let stopped = false;
  const expire = (): void => {
    if (!stopped) {
      outgoing.destroy(new Error('the server did not answer 100 Continue in time'));
    }
  };
  // After a pause of the process, timers run before the sockets are read; an answer that has arrived still counts.
  const timer = setTimeout(() => setImmediate(expire), limitMs);
  const stop = (): void => {
    stopped = true;
    clearTimeout(timer);
  };
  outgoing.once('response', stop);
  outgoing.once('close', stop);
  outgoing.once('continue', () => {
    stop();
    run();
  });
  outgoing.flushHeaders();
};

/** Largest number of informational (1xx) responses before the final one; a server that sends more counts as faulty. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Cancels a request whose server sends too many informational responses. */
const limitInformationalResponses = (outgoing: ClientRequest): void => {
  let responses = 0;
  const count = (): void => {
    responses += 1;
    if (responses > MAX_INFORMATIONAL_RESPONSES) {
      outgoing.destroy(new TransportError('too-many-interim', 'the server sent too many informational responses'));
    }
  };
  outgoing.on('information', count);
  outgoing.on('continue', count);
};

/** Statuses of final responses. Node also takes 101, statuses below 100 and those above 599 for final ones. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Reason for which a response cannot be the answer to its request; undefined when there is none. */
const findFault = ({ statusCode = 0 }: IncomingMessage, sent: boolean): Error | undefined => {
  if (!sent) {
    return new Error('an answer arrived before the request was sent');
  }
  const isFinal = statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_FINAL_STATUS;
  return isFinal ? undefined : new Error('the server sent no final response');
};

/** Reports the exceptions of the readers of a response, each of them once. */
const reportFaults = (outgoing: ClientRequest, onFault: HttpClientOptions['onFault']): void => {
  let reported: Error | undefined;
  const report = (error: Error): void => {
    if (isReaderFault(error) && error !== reported) {
      reported = error;
      onFault?.(error.cause() ?? error);
    }
  };
  outgoing.on('error', report);
  // Without a listener, an error of a response that is cancelled after it was read would be thrown.
  outgoing.on('response', (response) => response.on('error', report));
};

interface OpenOptions {
  readonly agent: http.Agent;
  readonly onFault: HttpClientOptions['onFault'];
}

/** Sends a request and resolves with the response as soon as its headers arrive. */
const openRequest = (target: Target, request: HttpRequest, { agent, onFault }: OpenOptions): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    let sent = false;
    let failed = false;
    let received: IncomingMessage | undefined;
    const outgoing = http.request(formatOptions(target, request, agent));
    destroyOnAbort(outgoing, request.signal);
    setConnectTimeout(outgoing, request.connectLimitMs);
    limitInformationalResponses(outgoing);
    reportFaults(outgoing, onFault);
    outgoing.on('response', (response) => {
      const fault = findFault(response, sent);
      if (fault !== undefined) {
        outgoing.destroy(fault);
        return;
      }
      received = response;
      detectCut(outgoing, response, request);
      resolve(response);
    });
    outgoing.on('error', (cause) => {
      failed = true;
      reject(toTransportError(cause, request.signal?.aborted === true, sent));
      // The parser takes a reset for the end of a response without a length. A complete response with a length stays
      // valid, whatever happens to the connection afterwards.
      if (received?.complete === false || (received !== undefined && endsWithConnection(request.method, received))) {
        received.destroy(cause);
      }
    });
    // A switch of protocols that was not requested closes the request with neither a response nor an error.
    outgoing.on('close', () =>
      reject(toTransportError(new Error('no response'), request.signal?.aborted === true, sent)),
    );
    const sendBody = (socket: Socket): void => {
      // A connection that ends before the request is sent fails the request, which is destroyed only later.
      if (outgoing.destroyed || failed) {
        return;
      }
      if (request.signal?.aborted === true || request.maySend?.(socket) === false) {
        outgoing.destroy(new Error('the request was cancelled before it was sent'));
        return;
      }
      sent = true;
      request.onSending?.();
      outgoing.end(request.body ?? '');
    };
    whenConnected(outgoing, (socket) => {
      if (request.expectContinueMs === undefined) {
        sendBody(socket);
      } else {
        whenContinued(outgoing, request.expectContinueMs, () => sendBody(socket));
      }
    });
  });

/**
 * Creates an HTTP client.
 *
 * @param options - limits of the kept-alive connections, and receiver of exceptions
 * @returns the client; close it to close its connections
 * @throws TransportError from `send` and `open`; `not-connected` guarantees that no byte of the request was sent
 * @example
 * const response = await client.send({ address: '10.0.0.1', port: 80 }, { method: 'GET', path: '/load' });
 */
export default function createHttpClient(options: HttpClientOptions = {}): HttpClient {
  const { onFault } = options;
  const agent = createKeepAliveAgent({ ...options, maxSockets: options.maxSockets ?? Infinity });
  const freshAgent = Object.assign(new http.Agent({ keepAlive: false }), {
    createConnection: createSmallReadConnection,
  });
  let closed = false;

  const open = (target: Target, request: HttpRequest): Promise<IncomingMessage> =>
    closed
      ? Promise.reject(new TransportError('not-connected', 'the client is closed'))
      : openRequest(target, request, { agent: request.freshConnection === true ? freshAgent : agent, onFault });

  const send = async (target: Target, request: HttpRequest): Promise<HttpResponse> => {
    const response = await open(target, request);
    try {
      const body = await readBody(response);
      return { status: response.statusCode ?? 0, headers: response.headers, body };
    } catch (cause) {
      if (request.signal?.aborted === true) {
        throw new TransportError('aborted', 'request was cancelled or timed out', { cause });
      }
      throw cause;
    }
  };

  return {
    open,
    send,
    findIdle: ({ address, port }) => agent.freeSockets[agent.getName({ host: address, port })]?.at(-1),
    close: () => {
      closed = true;
      [agent, freshAgent].forEach((each) => each.destroy());
    },
  };
}
