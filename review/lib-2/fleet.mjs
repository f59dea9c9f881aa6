// Starts hosts with the command of the deploy file against the stand-ins, and
// restarts each one that ends, as the platform does.

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { listen, startOrders, startStore } from "./store.mjs";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const RESTART_DELAY_MS = 500;
const BEAT_MS = 1_200;

/** Returns the command of the deploy file that starts a host, as words. */
function readCommand() {
  const text = readFileSync("deploy/system.toml", "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

async function findPorts(count) {
  const servers = [];
  const ports = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    ports.push(await listen(server));
    servers.push(server);
  }
  servers.forEach((server) => server.close());
  return ports;
}

function getStatus(port) {
  return new Promise((resolve) => {
    const req = request(
      { host: "127.0.0.1", port, path: "/readyz", agent: false, timeout: 500 },
      (res) => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(undefined));
    req.end();
  });
}

/** Writes lines with the time since the start to the record of a case. */
export function createRecord(file) {
  writeFileSync(file, "");
  const startedAt = Date.now();
  return (text) => {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(file, `${at} ${text}\n`);
  };
}

/** Starts the stand-ins and the hosts. */
export async function startFleet(options) {
  const { groups, zones, record, tenants, routes } = options;
  const regions = Object.fromEntries(zones.map((zone) => [zone, `r-${zone}`]));
  const directory = mkdtempSync(join(tmpdir(), "review-"));
  const { network } = options;
  const store = await startStore({
    callers: options.hosts,
    ...(network ? { view: network.view } : {}),
  });
  const orders = await startOrders(
    groups,
    (order) => record(`order ${JSON.stringify(order)}`),
  );
  const command = readCommand();
  let isStopping = false;

  function register(group, server) {
    server.seq++;
    store.put("servers", server.id, {
      service: group.service,
      addr: `127.0.0.1:${server.proxyPort ?? server.port}`,
      zone: server.zone,
      version: "v1",
      slots: group.slots,
      state: server.state,
      coldLeftMs: 0,
      dbRole: server.role,
      born: server.born,
      seq: server.seq,
    });
  }

  function registerAll() {
    for (const group of groups) {
      group.servers.filter((server) => server.isStarted && !server.isHidden)
        .forEach((server) => register(group, server));
    }
  }

  for (const group of groups) {
    group.onRole = registerAll;
  }
  registerAll();
  const beat = setInterval(registerAll, BEAT_MS);
  let version = 7;

  function configure(changes = {}) {
    version += 3;
    store.put("config", "main", {
      version,
      routes: routes.map((route) => ({
        name: `r-${route.host}`,
        pathPrefix: "/",
        timeoutMs: 1_000,
        sloMs: 1_000,
        prio: 1,
        attempts: 2,
        public: false,
        ...route,
      })),
      services: groups.map(({ service, maxConns }) => ({
        name: service,
        healthPath: "/health",
        maxConns,
        syncReplicas: 1,
        protocol: "own",
      })),
      limits: { txIdleMs: 3_000 },
      tenants,
      ...changes,
    });
  }
  configure();

  const ports = await findPorts(4 * options.hosts);
  await network?.connect({
    groups,
    peers: Array.from({ length: options.hosts }, (_, i) => ports[4 * i + 3]),
  });
  // The first version names addresses that are known only now.
  registerAll();
  const hosts = [];
  /** Resolves with "cut" once the process that a host runs now has ended. */
  const ended = new Map();
  for (let i = 0; i < options.hosts; i++) {
    const [clients, health, metrics, peers] = ports.slice(4 * i, 4 * i + 4);
    const name = `front-${i}`;
    const file = join(directory, `${name}.yaml`);
    const at = (port) => `127.0.0.1:${port}`;
    // JSON is YAML as well.
    writeFileSync(
      file,
      JSON.stringify({
        host: name,
        domain: zones[i % zones.length],
        regions,
        clients: at(clients),
        health: at(health),
        metrics: at(metrics),
        peers: at(peers),
        store: at(store.ports[i]),
        orders: at(orders.port),
        changeInForceMs: 4_000,
        settlingMs: 5_000,
        stopGraceS: 6,
        quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
      }),
    );
    const host = {
      name,
      clients,
      health,
      file,
      ends: [],
      child: undefined,
      untilEnd: () => ended.get(host),
    };
    hosts.push(host);
    start(host);
  }

  function start(host) {
    const child = spawn(command[0], command.slice(1), {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TURMERICCHUTE_SETTINGS: host.file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    host.child = child;
    ended.set(
      host,
      new Promise((resolve) => child.once("exit", () => resolve("cut"))),
    );
    record(`start ${host.name} pid ${child.pid}`);
    child.stdout.on("data", (data) => options.onLog?.(host, `${data}`));
    let errors = "";
    child.stderr.on("data", (data) => errors = (errors + data).slice(0, 2_000));
    child.on("exit", (code, signal) => {
      if (isStopping || host.isEnded) {
        return;
      }
      const line = errors.split("\n").find((text) => /error/i.test(text));
      host.ends.push({ code, signal, line });
      record(
        `end ${host.name} by itself: code ${code} signal ${signal} ${
          line ?? ""
        }`,
      );
      setTimeout(() => !isStopping && start(host), RESTART_DELAY_MS);
    });
  }

  async function waitUntilReady(timeoutMs = 20_000) {
    const deadline = Date.now() + timeoutMs;
    for (const host of hosts) {
      while (await getStatus(host.health) !== 200) {
        if (Date.now() > deadline) {
          return false;
        }
        await sleep(50);
      }
    }
    return true;
  }

  return {
    store,
    orders,
    hosts,
    configure,
    registerAll,
    waitUntilReady,
    isReady: async (host) => await getStatus(host.health) === 200,
    close() {
      isStopping = true;
      clearInterval(beat);
      hosts.forEach(({ child }) => child.kill("SIGKILL"));
      groups.forEach((group) => group.close());
      network?.close();
      store.close();
      orders.close();
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

/** Session of a consumer; each call resolves with the lines of its answer. */
export function openSession(port, options) {
  const { database, key } = options;
  const socket = connect({ host: "127.0.0.1", port });
  const waiting = [];
  let buffer = "";
  let isOver = false;
  socket.setNoDelay(true);
  socket.setEncoding("latin1");

  function end() {
    isOver = true;
    waiting.splice(0).forEach(({ lines, resolve }) =>
      resolve({ lines, isWhole: false })
    );
  }
  socket.on("error", end);
  socket.on("end", end);
  socket.on("close", end);
  socket.on("data", (chunk) => {
    buffer += chunk;
    let from = 0;
    for (
      let at = buffer.indexOf("\r\n", from);
      at >= 0;
      at = buffer.indexOf("\r\n", from)
    ) {
      const line = buffer.slice(from, at);
      from = at + 2;
      const current = waiting[0];
      if (!current) {
        continue;
      }
      current.lines.push(line);
      const isEnd = line.startsWith("READY") ||
        (current.isStart && line.startsWith("ERR"));
      if (isEnd) {
        waiting.shift();
        current.resolve({ lines: current.lines, isWhole: true });
      }
    }
    buffer = buffer.slice(from);
  });

  function send(line, isStart = false) {
    return new Promise((resolve) => {
      if (isOver) {
        resolve({ lines: [], isWhole: false });
        return;
      }
      waiting.push({ lines: [], isStart, resolve });
      socket.write(`${line}\r\n`, "latin1");
    });
  }

  return {
    socket,
    start: () => send(`START ${database} ${key}`, true),
    query: (id, text) => send(`QUERY ${id} ${text}`),
    close: () => socket.destroy(),
  };
}
