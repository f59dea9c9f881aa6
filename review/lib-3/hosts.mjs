/** Starts hosts as the deploy file says, and clients of them. */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { readLines } from "./backends.mjs";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const ROOT = new URL("../..", import.meta.url).pathname;
const GRACE_S = 6;
/** Delay after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 300;
const READY_TIMEOUT_MS = 20_000;

/** Returns the words of the deploy file's command. */
function readCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

/** Below the ports that connections get by themselves. */
const FIRST_PORT = 14_000;
const PORT_COUNT = 17_000;
const givenPorts = new Set();

/** Finds a port that is free now, and that no connection takes. */
async function findPort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (givenPorts.has(port)) {
      continue;
    }
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (isFree) {
      givenPorts.add(port);
      await new Promise((resolve) => server.close(resolve));
      return port;
    }
  }
}

/** Case that could not run; the script then exits with 2. */
export class NotRunError extends Error {}

/** Creates the platform's part that starts, restarts and ends hosts. */
export function createHosts({ zones, storePort, ordersPort, record, env }) {
  const directory = mkdtempSync(join(tmpdir(), "review-"));
  const [program, ...args] = readCommand();
  const hosts = [];
  let isClosed = false;
  let hasLostPort = false;

  async function add(name, zone) {
    const ports = {
      clients: await findPort(),
      health: await findPort(),
      metrics: await findPort(),
      peers: await findPort(),
    };
    const at = (port) => `127.0.0.1:${port}`;
    const settingsFile = join(directory, `${name}.yaml`);
    const settings = {
      host: name,
      domain: zone,
      regions: zones,
      clients: at(ports.clients),
      health: at(ports.health),
      metrics: at(ports.metrics),
      peers: at(ports.peers),
      store: at(storePort),
      orders: at(ordersPort),
      changeInForceMs: 4_000,
      settlingMs: 5_000,
      stopGraceS: GRACE_S,
      quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
    };
    // JSON is YAML as well.
    writeFileSync(settingsFile, JSON.stringify(settings));
    const host = {
      name,
      zone,
      ports,
      settingsFile,
      child: undefined,
      /** Ends without a signal of this script, with code and time. */
      ownEnds: [],
      log: "",
      isSignalled: false,
    };
    hosts.push(host);
    start(host);
    return host;
  }

  function start(host) {
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C",
        TURMERICCHUTE_SETTINGS: host.settingsFile,
        ...env,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    host.child = child;
    host.isSignalled = false;
    const keep = (chunk) => host.log = (host.log + chunk).slice(-400_000);
    child.stdout.setEncoding("utf8").on("data", keep);
    child.stderr.setEncoding("utf8").on("data", keep);
    child.on("exit", (code, signal) => {
      if (isClosed) {
        return;
      }
      if (host.log.slice(-20_000).includes("EADDRINUSE")) {
        // Another process has taken a port: the case cannot run.
        hasLostPort = true;
      }
      if (!host.isSignalled) {
        host.ownEnds.push({ code, signal });
        record(`${host.name} ends by itself: code ${code}, signal ${signal}`);
        const cause = /^.*(FATAL ERROR|Error:).*$/m.exec(
          host.log.slice(-20_000),
        );
        record(`${host.name} says: ${cause?.[0].slice(0, 200) ?? "nothing"}`);
      }
      setTimeout(() => isClosed || start(host), RESTART_DELAY_MS);
    });
  }

  function isReady({ ports }) {
    return new Promise((resolve) => {
      const req = request({
        host: "127.0.0.1",
        port: ports.health,
        path: "/readyz",
        agent: false,
        timeout: 500,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
      req.end();
    });
  }

  return {
    hosts,
    add,
    isReady,
    /** Whether a host could not listen, as its port was taken. */
    hasLostPort: () => hasLostPort,
    async waitUntilReady() {
      const deadline = Date.now() + READY_TIMEOUT_MS;
      for (const host of hosts) {
        while (!await isReady(host)) {
          if (hasLostPort || Date.now() > deadline) {
            throw new NotRunError(`${host.name} is not ready`);
          }
          await sleep(50);
        }
      }
    },
    signal(host, signal) {
      host.isSignalled ||= signal === "SIGKILL" || signal === "SIGTERM";
      host.child.kill(signal);
    },
    close() {
      isClosed = true;
      hosts.forEach(({ child }) => child.kill("SIGKILL"));
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

/** Gets what clients send and are answered; set once for a script. */
let transcribe = () => {};
let clientCount = 0;

export function setTranscript(record) {
  transcribe = record;
}

/** Describes an answer in one short line. */
function describe({ lines, isComplete }) {
  const rows = lines.filter((line) => line.startsWith("ROW ")).length;
  const rest = lines.filter((line) => !line.startsWith("ROW ")).join(" | ");
  return `${rows} rows | ${rest}${isComplete ? "" : " | cut"}`.slice(0, 160);
}

/** Connects a client; each message resolves with the lines of its answer. */
export function createClient(port) {
  const name = `c${++clientCount}`;
  const socket = connect({ host: "127.0.0.1", port, noDelay: true });
  const waiting = [];
  const client = { isEnded: false, unsolicited: [] };

  function end() {
    client.isEnded = true;
    for (const { lines, resolve } of waiting.splice(0)) {
      resolve({ lines, isComplete: false });
    }
  }

  function send(text, isStart = false) {
    return new Promise((resolve) => {
      if (client.isEnded) {
        resolve({ lines: [], isComplete: false });
        return;
      }
      transcribe(`${name} sends ${text.slice(0, 120)}`);
      const finish = (answer) => {
        transcribe(`${name} is answered ${describe(answer)}`);
        resolve(answer);
      };
      waiting.push({ lines: [], isStart, resolve: finish });
      socket.write(`${text}\r\n`, "latin1");
    });
  }

  socket.on("error", end);
  socket.on("close", end);
  readLines(socket, (line) => {
    const current = waiting[0];
    if (!current) {
      client.unsolicited.push(line);
      return;
    }
    current.lines.push(line);
    const isLast = line.startsWith("READY ") ||
      (current.isStart && line.startsWith("ERR "));
    if (isLast) {
      waiting.shift();
      current.resolve({ lines: current.lines, isComplete: true });
    }
  });
  return Object.assign(client, {
    socket,
    start: (database, key) => send(`START ${database} ${key}`, true),
    query: (id, text) => send(`QUERY ${id} ${text}`),
    close() {
      socket.destroy();
    },
  });
}

/** Returns the code of a failed answer; undefined if it succeeded. */
export function getCode({ lines, isComplete }) {
  const failed = lines.find((line) => line.startsWith("ERR "));
  return failed?.split(" ")[1] ?? (isComplete ? undefined : "CUT");
}
