/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-bitwise: "off", max-classes-per-file: "off", no-restricted-syntax: "off", no-param-reassign: "off" */
import http from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { readBody } from './store.mjs';

/** Listens on a free port of loopback; resolves with the address. */
const listen = (server) =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });

/** What backend servers share: an id, a health check, the check of X-Expect-Instance and an entry in the store. */
export class Server {
  constructor({ id, service, zone, store, record }) {
    Object.assign(this, { id, service, zone, store, record, born: Date.now() });
    this.http = http.createServer({ keepAliveTimeout: 20_000 }, (request, response) => this.accept(request, response));
  }

  async start() {
    this.address = await listen(this.http);
    this.register('ready');
    return this;
  }

  register(state) {
    const { id, service, address, zone, born, version = 'v1' } = this;
    const entry = { service, address, zone, version, slots: this.slots, state, coldLeftMs: 0, seq: 0, born };
    this.store.put(`servers/${id}`, entry);
  }

  close() {
    this.http.close();
    this.http.closeAllConnections();
  }

  async accept(request, response) {
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    const expected = request.headers['x-expect-instance'];
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) {
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.handle(request, response, body);
  }
}

/** A stage server as PROTOCOL.md describes it: calls one after another, results kept for `handleS`. */
export class StageServer extends Server {
  slots = 1;

  results = new Map();

  made = 0;

  tail = Promise.resolve();

  waiting = 0;

  constructor(options) {
    super(options);
    this.spec = options.spec;
    /** Decides for an answer whether it is also sent a second time, late. */
    this.repeats = options.repeats ?? (() => false);
  }

  handle(request, response, body) {
    const { socket } = request;
    if (socket.lateAnswer !== undefined) {
      // A second answer arrives late, at the point where the next answer is expected.
      socket.write(socket.lateAnswer);
      this.record(`server ${this.id} sends its last answer again`);
      socket.lateAnswer = undefined;
    }
    const message = JSON.parse(body.toString());
    if (request.url === '/v1/stage-free') {
      message.handles.forEach((handle) => this.results.delete(handle));
      StageServer.send(response, 200, {});
      return;
    }
    if (this.waiting > this.spec.queue) {
      StageServer.send(response, 503, {}, { 'X-Not-Executed': '1' });
      return;
    }
    this.waiting += 1;
    this.tail = this.tail.then(() => this.run(message.items, request, response));
  }

  static send(response, status, body, headers = {}) {
    const text = JSON.stringify(body);
    const head = { ...headers, 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
    response.writeHead(status, head);
    response.end(text);
    return text;
  }

  async run(items, { socket }, response) {
    const { callMs, itemMs, handleS } = this.spec;
    await wait(callMs + itemMs * items.length);
    this.waiting -= 1;
    const answers = items.map(({ id, stage, piece }) => {
      this.made += 1;
      const handle = `${this.address}/${this.made.toString(16).padStart(10, '0')}`;
      this.results.set(handle, { id, stage, piece });
      setTimeout(() => this.results.delete(handle), handleS * 1000).unref();
      this.record(`server ${this.id} made ${handle} for ${id} stage ${stage} piece ${piece}`);
      return { handle };
    });
    const text = StageServer.send(response, 200, { items: answers });
    if (this.repeats()) {
      const length = Buffer.byteLength(text);
      socket.lateAnswer = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${text}`;
    }
  }
}

/** A model server: it fetches the results that X-Inputs names, then streams events. */
export class ModelServer extends Server {
  slots = 64;

  runs = [];

  constructor(options) {
    super(options);
    this.stages = options.stages;
    this.firstMs = options.firstMs ?? 60;
    this.events = options.events ?? 5;
    this.gapMs = options.gapMs ?? 20;
  }

  find(handle) {
    return this.stages.map(({ results }) => results.get(handle)).find((result) => result !== undefined);
  }

  async handle({ headers, socket }, response) {
    const id = headers['x-attempt-id'];
    const handles = headers['x-inputs'] === undefined ? undefined : headers['x-inputs'].split(',').filter(Boolean);
    const inputs = handles?.map((handle) => this.find(handle));
    if (inputs === undefined || inputs.includes(undefined)) {
      const status = inputs === undefined ? 400 : 409;
      response.writeHead(status, { 'X-Attempt-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.runs.push({ id, inputs, tenant: headers['x-tenant'] });
    this.record(`server ${this.id} runs ${id} with ${handles.map((handle, at) => `${handle} (of ${inputs[at].id})`)}`);
    await wait(this.firstMs);
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Seal': this.id, 'Content-Type': 'text/event-stream' });
    for (let event = 1; event <= this.events && !socket.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
      await wait(this.gapMs);
    }
    response.end();
  }
}

/** A server of an ordinary service: it reads the whole request, works and answers. */
export class BookingServer extends Server {
  slots = 6;

  ran = new Set();

  constructor(options) {
    super(options);
    this.workMs = options.workMs;
    this.tail = Array.from({ length: this.slots }, () => Promise.resolve());
    this.next = 0;
  }

  async handle({ headers, socket }, response) {
    const id = headers['x-attempt-id'];
    // One of the slots, in turn; a request whose connection has closed is dropped.
    const slot = this.next % this.slots;
    this.next += 1;
    const turn = this.tail[slot].then(async () => {
      if (!socket.destroyed) {
        this.ran.add(id);
        this.record(`server ${this.id} runs ${id}`);
        await wait(this.workMs);
      }
    });
    this.tail[slot] = turn;
    await turn;
    const text = `booked ${id}`;
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Seal': this.id, 'Content-Length': text.length });
    response.end(text);
  }
}

/**
 * A model server with a software version, which each event names. It goes on after `Last-Event-Id` and drops a stream
 * whose connection has closed.
 */
export class VersionedServer extends Server {
  slots = 64;

  sockets = new Set();

  runs = [];

  constructor(options) {
    super(options);
    this.name = options.id;
    this.version = options.version;
    this.events = options.events;
    this.gapMs = options.gapMs;
    this.starts = 1;
    this.http.on('connection', (socket) => this.watch(socket));
  }

  watch(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
  }

  /** Crashes, and starts again after a time as a new incarnation of the same version; its old entry lapses. */
  async crash(downMs) {
    const old = this.id;
    this.record(`server ${old} (${this.version}) crashes with ${this.sockets.size} connections`);
    this.http.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    setTimeout(() => this.store.remove(`servers/${old}`), 3600);
    await wait(downMs);
    this.starts += 1;
    this.id = `${this.name}-${this.starts}`;
    this.born = Date.now();
    this.http = http.createServer({ keepAliveTimeout: 20_000 }, (request, response) => this.accept(request, response));
    this.http.on('connection', (socket) => this.watch(socket));
    await this.start();
  }

  async handle({ headers, socket }, response) {
    const id = headers['x-attempt-id'];
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    this.runs.push(id);
    this.record(`server ${this.id} (${this.version}) runs ${id} from event ${first}`);
    await wait(60);
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Seal': this.id, 'Content-Type': 'text/event-stream' });
    for (let event = first; event <= this.events && !socket.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${this.version}\n\n`);
      await wait(this.gapMs);
    }
    response.end();
  }
}
