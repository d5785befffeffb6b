/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/** Stand-in of the platform's store: a sound one, as PROTOCOL.md describes it. */
import http from 'node:http';

const ANSWER_MS = 4;
const LEASE_CHECK_MS = 100;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const toBase64 = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

export class Store {
  items = new Map();

  history = [];

  revision = 1;

  leases = new Map();

  nextLease = 1;

  /** Connections that went silent. */
  silent = new Set();

  /** Watches that wait: each has the response and a function that answers it now. */
  watches = new Set();

  calls = { watches: 0, cut: 0, reads: 0, writes: 0 };

  constructor(host) {
    this.host = host;
    this.server = http.createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.timer = setInterval(() => this.endLeases(), LEASE_CHECK_MS);
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.port = this.server.address().port;
    return this;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key as the operator or a server does. */
  put(key, value) {
    this.write(key, toBase64(value), 0);
  }

  /** Deletes a key as a server does that leaves. */
  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, revision: this.revision, tombstone: true });
    }
  }

  /** The connections on which watches wait now go silent for good, without a reset; all others work. */
  silenceWatches() {
    this.watches.forEach(({ response, stop }) => {
      stop();
      this.silent.add(response.socket);
    });
    return this.silent.size;
  }

  /** Cuts every watch that waits now: its connection closes without an answer. */
  cutWatches() {
    this.watches.forEach(({ response, stop }) => {
      stop();
      this.calls.cut += 1;
      response.destroy();
    });
  }

  write(key, value, lease) {
    this.revision += 1;
    const createRev = this.items.get(key)?.createRev ?? this.revision;
    const item = { key, value, revision: this.revision, createRev, lease };
    this.items.set(key, item);
    this.record(item);
  }

  record(event) {
    this.history.push(event);
    [...this.watches].forEach(({ wake }) => wake(event));
  }

  endLeases() {
    [...this.leases].forEach(([lease, { endsAtMs }]) => {
      if (endsAtMs <= performance.now()) {
        this.endLease(lease);
      }
    });
  }

  endLease(lease) {
    const known = this.leases.delete(lease);
    [...this.items.values()].filter((item) => known && item.lease === lease).forEach(({ key }) => this.remove(key));
    return known;
  }

  async answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const text = await readBody(request);
    if (this.silent.has(request.socket)) {
      return;
    }
    const send = (status, body) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    await new Promise((resolve) => {
      setTimeout(resolve, ANSWER_MS);
    });
    const [, , call, id] = url.pathname.split('/');
    const { searchParams: query } = url;
    switch (`${request.method} ${call}`) {
      case 'GET kv-key': {
        this.calls.reads += 1;
        const item = this.items.get(query.get('key'));
        send(item === undefined ? 404 : 200, { ...item, storeRevision: this.revision });
        return;
      }
      case 'GET kv-range': {
        this.calls.reads += 1;
        const after = query.get('after') ?? '';
        const prefix = query.get('prefix') ?? '';
        const all = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        send(200, { items: all.slice(0, 500), morePages: all.length > 500, storeRevision: this.revision });
        return;
      }
      case 'GET kv-watch':
        this.calls.watches += 1;
        this.watch(query, response, send);
        return;
      case 'POST kv-txn':
        this.calls.writes += 1;
        this.commit(JSON.parse(text), send);
        return;
      case 'POST kv-lease': {
        const lease = this.nextLease;
        this.nextLease += 1;
        const { ttlMs } = JSON.parse(text);
        this.leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs });
        send(200, { lease, ttlMs });
        return;
      }
      case 'POST kv-keep': {
        const lease = this.leases.get(Number(id));
        if (lease !== undefined) {
          lease.endsAtMs = performance.now() + lease.ttlMs;
        }
        send(lease === undefined ? 404 : 200, { lease: Number(id), ttlMs: lease?.ttlMs ?? 0 });
        return;
      }
      case 'DELETE kv-lease-end':
        send(this.endLease(Number(id)) ? 200 : 404, {});
        return;
      default:
        send(404, {});
    }
  }

  commit({ expectRev = [], puts = [], deletes = [] }, send) {
    if (expectRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      send(412, { items: expectRev.flatMap(({ key }) => this.items.get(key) ?? []) });
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      send(404, {});
      return;
    }
    puts.forEach(({ key, value, lease = 0 }) => this.write(key, value, lease));
    deletes.forEach((key) => this.remove(key));
    send(200, { revision: this.revision });
  }

  watch(query, response, send) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () => this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const reply = () => send(200, { events: find(), storeRevision: this.revision });
    const waitMs = Number(query.get('waitMs'));
    if (find().length > 0 || waitMs === 0) {
      reply();
      return;
    }
    const watch = { response };
    const timer = setTimeout(() => watch.finish(), waitMs);
    watch.stop = () => {
      clearTimeout(timer);
      this.watches.delete(watch);
    };
    watch.finish = () => {
      watch.stop();
      reply();
    };
    watch.wake = ({ key }) => {
      if (key.startsWith(prefix)) {
        watch.finish();
      }
    };
    response.once('close', watch.stop);
    this.watches.add(watch);
  }
}

export const startStore = (host) => new Store(host).listen();
