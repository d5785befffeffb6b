/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-bitwise: "off", max-classes-per-file: "off", no-restricted-syntax: "off", no-param-reassign: "off" */
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

const ROOT = path.resolve(import.meta.dirname, '../..');

// The hosts end with this process, however it ends.
process.setMaxListeners(0);
['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(2)));

/** Finds a free port at an address. */
const findPort = (address) =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, address, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Fills in the template of the settings as DEPLOY.md says; only values and their JSON occur in it. */
const fillTemplate = (fields) => {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/settings.json.template'), 'utf8');
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name.split('.').reduce((at, part) => at?.[part], fields);
    if (json !== undefined) {
      return JSON.stringify(value);
    }
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
};

/** The command of the deploy file. */
const readCommand = () => {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
};

/** Status of a host's readiness; 0 without an answer. */
const readReady = (host) =>
  new Promise((resolve) => {
    const request = http.get({ host: host.ip, port: host.readyPort, path: '/v1/readiness', agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    request.on('error', () => resolve(0));
  });

/**
 * Starts an entry host as the deploy file does, on a loopback address of its own (the metrics port is the same on all).
 * `fields` are further fields of the settings of a process; the bounds are those of the small deployment.
 */
export const startHost = async ({ number, folder, store, zone, zones, fields = {} }) => {
  const ip = `127.${64 + (process.pid % 60)}.${(process.pid >> 6) % 250}.${number}`;
  const [frontPort, readyPort, peerPort] = [await findPort(ip), await findPort(ip), await findPort(ip)];
  const nodeName = `edge-${number}`;
  const settings = path.join(folder, `${nodeName}.json`);
  const logFile = path.join(folder, `${nodeName}.log`);
  fs.writeFileSync(
    settings,
    fillTemplate({
      nodeName,
      ip,
      zone,
      zones,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
      listen: { front: `${ip}:${frontPort}`, ready: `${ip}:${readyPort}` },
      internalPorts: [peerPort, peerPort],
      platform: { address: store.address },
      bounds: { retryRatio: 0.2, retrySlack: 56, budgetWindowS: 10, graceS: 8 },
      ...fields,
    }),
  );
  const [command, ...args] = readCommand();
  const log = fs.openSync(logFile, 'a');
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(command === 'node' ? process.execPath : command, args, {
    cwd: ROOT,
    env: { PATH, HOME, LANG, BERGAMOTCOVE_SETTINGS: settings },
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  const host = { number, nodeName, ip, frontPort, readyPort, child, logFile, exited: undefined, exitedAt: undefined };
  host.gone = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      host.exited = signal ?? code;
      host.exitedAt = performance.now();
      resolve();
    });
  });
  process.once('exit', () => child.kill('SIGKILL'));
  return host;
};

/** Waits until hosts are ready; false when they are not in time. */
export const awaitReady = async (hosts, limitMs = 20_000) => {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    const states = await Promise.all(hosts.map(readReady));
    if (states.every((status) => status === 200)) {
      return true;
    }
    await wait(50);
  }
  return false;
};

/** Ends hosts and waits for their end. */
export const endHosts = (hosts) =>
  Promise.all(
    hosts.map((host) => {
      host.child.kill('SIGKILL');
      return host.gone;
    }),
  );
