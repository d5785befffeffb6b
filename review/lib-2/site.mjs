/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/** A small site on loopback addresses: a store, backend servers and entry hosts, all of them processes or stand-ins. */
import { fork, spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStore } from './store.mjs';

const ROOT = path.resolve(fileURLToPath(new URL('../..', import.meta.url)));
const SERVER = fileURLToPath(new URL('./server.mjs', import.meta.url));
const STORE_ADDRESS = '127.0.0.1';
const START_LIMIT_MS = 20_000;

export const ZONES = { 'ijmuiden-a': 'noord-holland', 'den-helder-b': 'noord-holland', 'harlingen-a': 'friesland' };

/** Bounds of the site file, in milliseconds. */
export const BOUNDS = { drainMs: 2_500, contactMs: 4_000, configMs: 2_500, graceMs: 8_000 };

export const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const findPort = (host) =>
  new Promise((resolve) => {
    const probe = net.createServer();
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => resolve(port));
    });
  });

const findPorts = async (host, count) => {
  const ports = new Set();
  while (ports.size < count) {
    ports.add(await findPort(host));
  }
  return [...ports];
};

/** Fills in what `deploy/settings.json.template` asks for, with the figures of a small deployment. */
const formatSettings = ({ name, address, zone, ports, storePort }) => ({
  host: { id: name, address, failureDomain: zone, regions: ZONES },
  resources: { cpuShare: 0.675, coreSpeed: 1, linkMbps: 1_000 },
  callers: `${address}:${ports[0]}`,
  health: `${address}:${ports[1]}`,
  peerPorts: [ports[2], ports[2]],
  metrics: { port: ports[3], path: '/metrics' },
  store: `${STORE_ADDRESS}:${storePort}`,
  retries: { ratio: 0.2, slack: 56, windowSeconds: 10 },
  stop: { graceSeconds: 8 },
});

/** Waits until a host says that it is ready, as the platform asks for it. */
const awaitReady = async ({ name, address, healthPort, child }) => {
  const endsAtMs = Date.now() + START_LIMIT_MS;
  while (Date.now() < endsAtMs && child.exitCode === null) {
    const status = await new Promise((resolve) => {
      http
        .get({ host: address, port: healthPort, path: '/v1/readiness' }, (response) => {
          response.resume();
          resolve(response.statusCode);
        })
        .on('error', () => resolve(0));
    });
    if (status === 200) {
      return;
    }
    await wait(50);
  }
  throw new Error(`${name} is not ready`);
};

export class Site {
  folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));

  children = new Set();

  hosts = [];

  servers = new Map();

  /** What the servers have reported. */
  events = [];

  constructor() {
    // Nothing outlives the script, also when it is ended from outside.
    process.once('exit', () => this.stop());
    process.once('SIGTERM', () => process.exit(2));
  }

  async start({ hosts, config, servers }) {
    this.store = await startStore(STORE_ADDRESS);
    this.store.put('op/config', config);
    await Promise.all(servers.map((server) => this.startServer(server)));
    await Promise.all(hosts.map((zone, index) => this.startHost(zone, index)));
  }

  async startServer({ serverId, service, zone, version = '1', slots = 64, ...options }) {
    const index = this.servers.size + 1;
    const host = `127.0.2.${index}`;
    const spec = JSON.stringify({ serverId, host, ...options });
    const child = fork(SERVER, [spec], { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
    this.track(child);
    const server = { serverId, service, zone, version, slots, host, child };
    this.servers.set(serverId, server);
    await new Promise((resolve) => {
      child.on('message', (event) => {
        if (event.type === 'listening') {
          Object.assign(server, { address: `${host}:${event.port}`, born: event.born });
          resolve();
        } else {
          this.events.push(event);
        }
      });
    });
    this.register(serverId, 'ready');
  }

  /** Writes the entry of a server, as the server itself does. */
  register(serverId, state) {
    const { service, address, zone, version, slots, born } = this.servers.get(serverId);
    const entry = { service, address, zone, version, slots, state, coldLeftMs: 0, seq: 1, born };
    this.store.put(`servers/${serverId}`, entry);
  }

  /** Starts an entry host with the command of the deploy file. */
  async startHost(zone, index) {
    const address = `127.0.1.${index + 1}`;
    const name = `edge-${zone}-${index + 1}`;
    const ports = await findPorts(address, 4);
    const settings = path.join(this.folder, `${name}.json`);
    const storePort = this.store.port;
    writeFileSync(settings, JSON.stringify(formatSettings({ name, address, zone, ports, storePort })));
    const child = spawn(process.execPath, ['--max-old-space-size=128', 'target/bergamotcove.mjs'], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, BERGAMOTCOVE_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.track(child);
    const host = { name, zone, address, port: ports[0], healthPort: ports[1], child };
    this.hosts[index] = host;
    child.stdout.resume();
    await awaitReady(host);
  }

  track(child) {
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
  }

  stop() {
    this.children.forEach((child) => child.kill('SIGKILL'));
    this.store?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export const newId = () => randomBytes(8).toString('hex');

/** Sends one request as a client does; resolves to what the client got. */
export const sendRequest = (host, { method = 'POST', hostName, target, deadlineMs, headers = {}, body = 'x', agent }) =>
  new Promise((resolve) => {
    const id = newId();
    const sentAtMs = Date.now();
    const length = method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) };
    const request = http.request({
      host: host.address,
      port: host.port,
      method,
      path: target,
      agent: agent ?? false,
      headers: { Host: hostName, 'X-Attempt-Id': id, 'X-Deadline-Ms': deadlineMs, ...length, ...headers },
    });
    let timer;
    const end = (result) => {
      clearTimeout(timer);
      resolve({ id, host: host.name, target, sentAtMs, endedAtMs: Date.now(), ...result });
    };
    timer = setTimeout(() => {
      end({ outcome: 'deadline' });
      request.destroy();
    }, deadlineMs);
    request.on('response', (response) => {
      const chunks = [];
      const finish = () =>
        end({
          outcome: response.complete ? 'answered' : 'cut',
          status: response.statusCode,
          seal: response.headers['x-response-seal'],
          body: Buffer.concat(chunks).toString('utf8'),
        });
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', finish);
      response.on('error', finish);
    });
    request.on('error', () => end({ outcome: 'no answer' }));
    request.end(method === 'GET' ? undefined : body);
  });
