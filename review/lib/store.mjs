/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-bitwise: "off", max-classes-per-file: "off", no-restricted-syntax: "off", no-param-reassign: "off" */
import http from 'node:http';

/** Reads the body of a request. */
export const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: one counter, watches, leases. */
export default class Store {
  items = new Map();

  history = [];

  leases = new Map();

  revision = 1;

  lastLease = 0;

  waiting = new Set();

  /** Newest revision that the history no longer has. */
  dropped = 0;

  constructor({ historyMs = 20_000 } = {}) {
    this.historyMs = historyMs;
  }

  async listen() {
    this.server = http.createServer((request, response) => {
      this.answer(request).then(
        ([status, body]) => {
          const text = JSON.stringify(body);
          response.writeHead(status, {
            'Content-Type': 'application/json',
            'Content-Length': Buffer.byteLength(text),
          });
          response.end(text);
        },
        () => response.destroy(),
      );
    });
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  close() {
    this.leases.forEach(({ timer }) => clearTimeout(timer));
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key as the operator or a server does. */
  put(key, value) {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.wake();
    return this.revision;
  }

  /** Removes a key as the operator or a server does. */
  remove(key) {
    this.drop(key);
    this.wake();
  }

  write(key, value, lease) {
    this.revision += 1;
    const createRev = this.items.get(key)?.createRev ?? this.revision;
    const item = { key, value, revision: this.revision, createRev, lease };
    this.items.set(key, item);
    this.record(item);
  }

  record(event) {
    this.history.push({ event, atMs: performance.now() });
    this.forget();
  }

  /** Forgets the changes that are older than the history. */
  forget() {
    const oldestMs = performance.now() - this.historyMs;
    while (this.history.length > 0 && this.history[0].atMs < oldestMs) {
      this.dropped = this.history.shift().event.revision;
    }
  }

  drop(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, revision: this.revision, tombstone: true });
    }
  }

  wake() {
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((run) => run());
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return false;
    }
    clearTimeout(lease.timer);
    this.leases.delete(id);
    [...this.items.values()].filter((item) => item.lease === id).forEach(({ key }) => this.drop(key));
    this.wake();
    return true;
  }

  keepLease(id) {
    const lease = this.leases.get(id);
    if (lease !== undefined) {
      clearTimeout(lease.timer);
      lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    }
    return lease;
  }

  async watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    this.forget();
    if (after < this.dropped) {
      return [410, {}];
    }
    const find = () =>
      this.history.map(({ event }) => event).filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const endsAt = performance.now() + Number(query.get('waitMs') ?? 0);
    while (find().length === 0 && performance.now() < endsAt) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, endsAt - performance.now()));
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return [200, { events: find(), storeRevision: this.revision }];
  }

  commit({ expectRev = [], puts = [], deletes = [] }) {
    if (expectRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      return [412, { items: expectRev.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      return [404, {}];
    }
    puts.forEach(({ key, value, lease = 0 }) => this.write(key, value, lease));
    deletes.forEach((key) => this.drop(key));
    this.wake();
    return [200, { revision: this.revision }];
  }

  async answer(request) {
    const url = new URL(request.url, 'http://store');
    const text = (await readBody(request)).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const id = Number(url.pathname.split('/').at(-1));
    switch (url.pathname.split('/')[2]) {
      case 'kv-range': {
        const prefix = url.searchParams.get('prefix') ?? '';
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
        return [200, { items, morePages: false, storeRevision: this.revision }];
      }
      case 'kv-watch':
        return this.watch(url.searchParams);
      case 'kv-key': {
        const item = this.items.get(url.searchParams.get('key'));
        return item === undefined ? [404, {}] : [200, { ...item, storeRevision: this.revision }];
      }
      case 'kv-txn':
        return this.commit(body);
      case 'kv-lease':
        this.lastLease += 1;
        this.leases.set(this.lastLease, { ttlMs: body.ttlMs });
        this.keepLease(this.lastLease);
        return [200, { lease: this.lastLease, ttlMs: body.ttlMs }];
      case 'kv-keep': {
        const lease = this.keepLease(id);
        return lease === undefined ? [404, {}] : [200, { ttlMs: lease.ttlMs }];
      }
      case 'kv-lease-end':
        return this.endLease(id) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }
}
