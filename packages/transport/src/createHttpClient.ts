import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import createKeptAgent, { type KeptAgentOptions } from './_lib/createKeptAgent.js';
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
  /** By name, or names and values in turn, which are sent in this order and spelling. */
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  readonly body?: string | Uint8Array;
  readonly signal?: AbortSignal;
  /** Called when the connection exists, just before the first byte of the request is written. */
  readonly onSending?: () => void;
  /** Asked when the connection exists; false gives the request up as `not-connected` before any byte is written. */
  readonly maySend?: () => boolean;
  /**
   * Sends the head with `Expect: 100-continue` and the body only after the server answered it. Without an answer in
   * this time the request is given up as `not-connected`: a server cannot run a request whose body it never got.
   */
  readonly expectContinueMs?: number;
  /** Time for a new connection to be made; then the request is given up as `not-connected`. */
  readonly connectLimitMs?: number;
  /** Opens a connection for this request alone, because a kept one may break before the server reads from it. */
  readonly freshConnection?: boolean;
}

/** A whole HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends requests over kept-alive connections. */
export interface HttpClient {
  /** Sends a request and reads the whole response. */
  send(target: Target, request: HttpRequest): Promise<HttpResponse>;
  /** Sends a request and returns the response as soon as its headers arrived. */
  open(target: Target, request: HttpRequest): Promise<IncomingMessage>;
  /** Breaks every connection; later requests fail as `not-connected`. */
  close(): void;
}

const toTransportError = (cause: Error, aborted: boolean, sent: boolean): TransportError => {
  if (aborted) {
    return new TransportError('aborted', 'request was cancelled or timed out', { cause });
  }
  return sent
    ? new TransportError('connection-lost', 'connection broke after the request was sent', { cause })
    : new TransportError('not-connected', 'no connection could be made', { cause });
};

/** Runs the callback once the request has a connection, new or kept. */
const whenConnected = (outgoing: http.ClientRequest, run: () => void): void => {
  outgoing.on('socket', (socket) => {
    if (socket.connecting) {
      socket.once('connect', run);
    } else {
      run();
    }
  });
};

const hasHost = (headers: readonly string[]): boolean =>
  headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'host');

/** Node adds neither host nor length to a list of headers. */
const formatList = (headers: readonly string[], target: Target, request: HttpRequest): readonly string[] => [
  ...(hasHost(headers) ? [] : ['Host', `${target.address}:${target.port}`]),
  ...headers,
  ...(request.body === undefined ? [] : ['Content-Length', String(Buffer.byteLength(request.body))]),
];

const formatHeaders = (target: Target, request: HttpRequest): http.OutgoingHttpHeaders | readonly string[] => {
  const { headers = {}, body = '', expectContinueMs } = request;
  if (Array.isArray(headers)) {
    return formatList(headers as readonly string[], target, request);
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

/** Gives a request up when its new connection is not made in time. */
const limitConnecting = (outgoing: ClientRequest, limitMs: number | undefined): void => {
  if (limitMs === undefined) {
    return;
  }
  outgoing.on('socket', (socket) => {
    if (!socket.connecting) {
      return;
    }
    const timer = setTimeout(() => outgoing.destroy(new Error('the connection was not made in time')), limitMs);
    const stop = (): void => clearTimeout(timer);
    socket.once('connect', stop);
    socket.once('close', stop);
  });
};

/** Cancels a request; the option `signal` of Node would attach its own observers to request and response as well. */
const destroyOnAbort = (outgoing: ClientRequest, signal: AbortSignal | undefined): void => {
  if (signal === undefined) {
    return;
  }
  const destroy = (): void => {
    outgoing.destroy(new Error('the request was cancelled'));
  };
  if (signal.aborted) {
    destroy();
    return;
  }
  signal.addEventListener('abort', destroy, { once: true });
  outgoing.once('close', () => signal.removeEventListener('abort', destroy));
};

/** Runs the callback when the server agrees to read the body; gives the request up when it does not answer in time. */
const whenContinued = (outgoing: ClientRequest, limitMs: number, run: () => void): void => {
  const timer = setTimeout(() => outgoing.destroy(new Error('the server did not agree to read the body')), limitMs);
  const stop = (): void => clearTimeout(timer);
  outgoing.once('response', stop);
  outgoing.once('close', stop);
  outgoing.once('continue', () => {
    stop();
    run();
  });
  outgoing.flushHeaders();
};

/** Statuses of answers that never have a body; what they say of its length means nothing. */
const BODILESS_STATUSES: readonly (number | undefined)[] = [204, 304];

/** Whether only the end of the connection tells where the body ends. */
const endsWithConnection = (method: string, { headers, statusCode }: IncomingMessage): boolean =>
  method !== 'HEAD' &&
  !BODILESS_STATUSES.includes(statusCode) &&
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined;

/**
 * Destroys an answer without a length whose connection was reset. The parser takes a reset for the end of the body, and
 * the event loop reports one that it finds together with the last bytes as an orderly end; only a write tells then.
 */
const detectReset = (method: string, response: IncomingMessage): void => {
  if (!endsWithConnection(method, response)) {
    return;
  }
  const { socket } = response;
  socket.prependOnceListener('end', () => {
    socket.write('', (cause) => {
      if (cause) {
        response.destroy(cause);
      }
    });
  });
};

/** Heads that may announce an answer; a server that sends more of them never answers. */
const MAX_INFORMATIONAL_HEADS = 16;

/** Gives a request up whose server announces an answer over and over. */
const limitInformation = (outgoing: ClientRequest): void => {
  let heads = 0;
  const count = (): void => {
    heads += 1;
    if (heads > MAX_INFORMATIONAL_HEADS) {
      outgoing.destroy(new Error('the server sent too many informational heads'));
    }
  };
  outgoing.on('information', count);
  outgoing.on('continue', count);
};

/** Sends a request and resolves with the response as soon as its headers arrived. */
const openRequest = (target: Target, request: HttpRequest, agent: http.Agent): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    let sent = false;
    let received: IncomingMessage | undefined;
    const outgoing = http.request(formatOptions(target, request, agent));
    destroyOnAbort(outgoing, request.signal);
    limitConnecting(outgoing, request.connectLimitMs);
    limitInformation(outgoing);
    outgoing.on('response', (response) => {
      received = response;
      detectReset(request.method, response);
      // A response that is cancelled after its reader has finished reports an error that nobody awaits.
      response.on('error', () => undefined);
      resolve(response);
    });
    outgoing.on('error', (cause) => {
      reject(toTransportError(cause, request.signal?.aborted === true, sent));
      // The parser takes a reset for the end of an answer that has no length. One that has a length and is whole stays
      // whole, whatever comes after it.
      if (received?.complete === false || (received !== undefined && endsWithConnection(request.method, received))) {
        received.destroy(cause);
      }
    });
    const sendBody = (): void => {
      if (request.signal?.aborted === true || request.maySend?.() === false) {
        outgoing.destroy(new Error('the request was given up before it was sent'));
        return;
      }
      sent = true;
      request.onSending?.();
      outgoing.end(request.body ?? '');
    };
    whenConnected(outgoing, () => {
      if (request.expectContinueMs === undefined) {
        sendBody();
      } else {
        whenContinued(outgoing, request.expectContinueMs, sendBody);
      }
    });
  });

/**
 * Creates an HTTP client.
 *
 * @param options - limits of the kept connections
 * @returns the client; close it to drop idle connections
 * @throws TransportError from `send` and `open`; `not-connected` guarantees that no byte of the request was sent
 * @example
 * const response = await client.send({ address: '10.0.0.1', port: 80 }, { method: 'GET', path: '/load' });
 */
export default function createHttpClient(options: Partial<KeptAgentOptions> = {}): HttpClient {
  const agent = createKeptAgent({ ...options, maxSockets: options.maxSockets ?? Infinity });
  const freshAgent = new http.Agent({ keepAlive: false });
  let closed = false;

  const open = (target: Target, request: HttpRequest): Promise<IncomingMessage> =>
    closed
      ? Promise.reject(new TransportError('not-connected', 'the client is closed'))
      : openRequest(target, request, request.freshConnection === true ? freshAgent : agent);

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
    close: () => {
      closed = true;
      [agent, freshAgent].forEach((each) => each.destroy());
    },
  };
}
