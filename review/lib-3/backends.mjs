/** Stand-in of a database group: a primary and its replicas. */

import { createServer } from "node:net";
import { createHash } from "node:crypto";

const LINE_END = "\r\n";
const HEARTBEAT_MS = 1_200;
/** Three intervals of silence, after which an entry is removed. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const BEFORE_ALL = { term: 1, pos: 0 };

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const format = ({ term, pos }) => `${term}.${pos}`;

function isAtLeast(a, b) {
  return a.term > b.term || (a.term === b.term && a.pos >= b.pos);
}

/** Splits off `count - 1` words; the last field holds the rest. */
export function splitFields(text, count) {
  const fields = [];
  let rest = text;
  while (fields.length < count - 1) {
    const at = rest.indexOf(" ");
    if (at < 0) {
      break;
    }
    fields.push(rest.slice(0, at));
    rest = rest.slice(at + 1);
  }
  return [...fields, rest];
}

/** Calls `onLine` with each complete line of a socket's input. */
export function readLines(socket, onLine) {
  let buffer = "";
  socket.setEncoding("latin1");
  socket.on("data", (chunk) => {
    buffer += chunk;
    for (;;) {
      const end = buffer.indexOf(LINE_END);
      if (end < 0) {
        return;
      }
      const line = buffer.slice(0, end);
      buffer = buffer.slice(end + LINE_END.length);
      onLine(line);
    }
  });
}

/**
 * Creates a group of backends; the first one leads term 1. Its owner listens on
 * the servers and sets `address` before it calls `register`.
 */
export function createGroup({
  name,
  ids,
  zones,
  store,
  workMs = 5,
  lagMs = 20,
  /** Time in which a replica receives a commit, by its index. */
  receiveMs = [1, 1, 1],
  promoteMs = 600,
  maxConns = 60,
  slots = 5,
  /** Rows of a read; one row with the item's value by default. */
  getRows,
  onRun = () => {},
  /** Whether the answer to a statement is lost after it ran. */
  isAnswerLost = () => false,
  onPromoted = () => {},
}) {
  const group = { name, backends: [], promote };

  for (const [index, id] of ids.entries()) {
    group.backends.push(createBackend(id, {
      zone: zones[index % zones.length],
      role: index === 0 ? "primary" : "replica",
      receiveMs: receiveMs[index],
    }));
  }

  function createBackend(id, { zone, role, receiveMs }) {
    const backend = {
      id,
      zone,
      role,
      receiveMs,
      term: 1,
      log: [],
      applied: 0,
      pausedTerm: 0,
      isRunning: true,
      /** Receives nothing of the primary. */
      isDeaf: false,
      /** Has its connections, and neither reads nor answers. */
      isDark: false,
      /** Does not reach the store. */
      isCutFromStore: false,
      /** Number of the process under this id. */
      life: 0,
      registeredAt: 0,
      sockets: new Set(),
      seq: 0,
      born: Date.now(),
      state: "ready",
      address: undefined,
    };
    backend.server = createServer({ noDelay: true }, (socket) => {
      socket.on("error", () => socket.destroy());
      if (!backend.isRunning) {
        socket.destroy();
        return;
      }
      backend.sockets.add(socket);
      socket.on("close", () => backend.sockets.delete(socket));
      serve(backend, socket);
    });
    return backend;
  }

  const endOf = ({ log }) => log.at(-1)?.position ?? BEFORE_ALL;
  const appliedOf = ({ log, applied }) =>
    log[applied - 1]?.position ?? BEFORE_ALL;

  function register(backend) {
    if (backend.isCutFromStore) {
      return;
    }
    backend.registeredAt = Date.now();
    backend.seq++;
    const { id, zone, state, role, born, seq, address } = backend;
    store.put("servers", id, {
      service: name,
      addr: address,
      zone,
      version: "v1",
      slots,
      state,
      coldLeftMs: 0,
      seq,
      dbRole: role,
      born,
    });
  }

  const isUp = ({ isRunning, isDark }) => isRunning && !isDark;

  /**
   * Gives a replica what a primary has sent: it arrives also if the primary has
   * gone dark since.
   */
  function receive(replica, { entries, term }) {
    if (
      !isUp(replica) || replica.isDeaf || replica.role !== "replica" ||
      replica.term > term || replica.pausedTerm > 0 ||
      replica.log.length >= entries.length
    ) {
      return;
    }
    replica.log = entries;
    replica.term = term;
    const count = entries.length;
    const last = entries.at(-1);
    setTimeout(() => {
      if (replica.log[count - 1] === last) {
        replica.applied = Math.max(replica.applied, count);
      }
    }, lagMs);
  }

  /** Appends a commit; true once a replica has received it. */
  async function append(primary, writes) {
    const { term, life } = primary;
    const entry = {
      position: { term, pos: endOf(primary).pos + 1 },
      writes,
    };
    primary.log.push(entry);
    primary.applied = primary.log.length;
    const count = primary.log.length;
    const replicas = group.backends.filter((other) => other !== primary);
    for (const replica of replicas) {
      const sent = { entries: primary.log.slice(0, count), term };
      setTimeout(() => receive(replica, sent), replica.receiveMs);
    }
    while (primary.life === life && primary.isRunning) {
      await sleep(1);
      if (primary.role !== "primary" || primary.term !== term) {
        return false;
      }
      if (
        isUp(primary) &&
        replicas.some((replica) => replica.log[count - 1] === entry)
      ) {
        return true;
      }
    }
    return false;
  }

  async function promote(chosen) {
    await sleep(promoteMs);
    if (chosen.role === "primary") {
      return;
    }
    const term = Math.max(...group.backends.map((entry) => entry.term)) + 1;
    for (const backend of group.backends) {
      backend.role = backend === chosen ? "primary" : "replica";
      backend.pausedTerm = 0;
    }
    chosen.term = term;
    chosen.applied = chosen.log.length;
    for (const backend of group.backends) {
      if (backend !== chosen && isUp(backend)) {
        backend.log = [...chosen.log];
        backend.applied = Math.min(backend.applied, backend.log.length);
        backend.term = term;
      }
      if (isUp(backend)) {
        register(backend);
      }
    }
    onPromoted(chosen);
  }

  /** Starts a backend again under its id; it knows nothing of before. */
  function restart(backend) {
    backend.sockets.forEach((socket) => socket.destroy());
    Object.assign(backend, {
      life: backend.life + 1,
      role: "replica",
      term: 1,
      log: [],
      applied: 0,
      pausedTerm: 0,
      seq: 0,
      born: Date.now(),
      isRunning: true,
    });
    register(backend);
  }

  /** Ends the process of a backend, which resets its connections. */
  function crash(backend) {
    backend.isRunning = false;
    backend.life++;
    backend.sockets.forEach((socket) => socket.destroy());
  }

  function readItem(backend, item) {
    for (let index = backend.applied - 1; index >= 0; index--) {
      for (const write of backend.log[index].writes.toReversed()) {
        if (write.item === item) {
          return write.data;
        }
      }
    }
    return "-";
  }

  function serve(backend, socket) {
    const { life } = backend;
    const isServing = () => isUp(backend) && backend.life === life;
    const values = new Map();
    const prepared = new Map();
    let state;
    let isPlain = false;
    let writes = [];
    let work = Promise.resolve();

    /** Id of the statement whose answer is lost. */
    let lostId;

    async function send(text) {
      if (!socket.destroyed && isServing() && lostId === undefined) {
        if (!socket.write(text, "latin1")) {
          await new Promise((resolve) => {
            const finish = () => {
              socket.off("drain", finish);
              socket.off("close", finish);
              resolve();
            };
            socket.on("drain", finish);
            socket.on("close", finish);
          });
        }
      }
    }

    const ready = () => `READY ${state} ${format(appliedOf(backend))}\r\n`;
    const fail = async (code) => {
      state = state === "T" && code !== "BUSY" ? "E" : state;
      await send(`ERR ${code} ${backend.id}\r\n${ready()}`);
    };
    const done = async (id, rows = []) => {
      for (const row of rows) {
        if (socket.destroyed) {
          return;
        }
        await send(`ROW ${row}\r\n`);
      }
      const mark = createHash("sha1").update(`${backend.id} ${id}`)
        .digest("hex").slice(0, 16);
      await send(`DONE ${id === "-" ? "-" : mark}\r\n${ready()}`);
    };

    async function runStatement(id, text, after) {
      const [word, args = ""] = splitFields(text, 2);
      let [access, rest] = [word, args];
      if (word === "EXEC") {
        const [statement, given = ""] = splitFields(args, 2);
        if (!prepared.has(statement)) {
          return await fail("NOSTMT");
        }
        [access, rest] = [prepared.get(statement).access, given];
      }
      const [item, data = ""] = splitFields(rest, 2);
      if (after && !isAtLeast(appliedOf(backend), after)) {
        return await fail("LAGGING");
      }
      const needsLead = access === "WRITE" || (state === "T" && isPlain);
      if (needsLead && backend.role !== "primary") {
        return await fail("READONLY");
      }
      await sleep(workMs);
      if (!isServing()) {
        return;
      }
      onRun({ backend, id, text, values: new Map(values), state });
      lostId = isAnswerLost({ backend, id, text }) ? id : undefined;
      if (access === "READ") {
        const rows = getRows?.(item) ?? [readItem(backend, item)];
        return await done(id, rows);
      }
      if (state === "T") {
        writes.push({ id, item, data });
        return await done(id);
      }
      return await append(backend, [{ id, item, data }])
        ? await done(id)
        : socket.destroy();
    }

    async function end(id, isCommit) {
      const committed = writes;
      writes = [];
      if (state === "I") {
        return await fail("MALFORMED");
      }
      const wasFailed = state === "E";
      state = "I";
      if (!isCommit || wasFailed) {
        return isCommit ? await fail("ABORTED") : await done(id);
      }
      if (committed.length > 0) {
        if (backend.role !== "primary") {
          return await fail("READONLY");
        }
        if (!await append(backend, committed)) {
          return socket.destroy();
        }
      }
      onRun({ backend, id, text: "COMMIT", values, state });
      return await done(id);
    }

    async function command(id, line) {
      let text = line;
      let after;
      if (text.startsWith("AFTER ")) {
        const [, position, rest] = splitFields(text, 3);
        const [term, pos] = position.split(".").map(Number);
        after = { term, pos };
        text = rest;
      }
      const [word, args = ""] = splitFields(text, 2);
      if (state === "E" && word !== "COMMIT" && word !== "ROLLBACK") {
        return await fail("MALFORMED");
      }
      switch (word) {
        case "BEGIN":
          if (after && !isAtLeast(appliedOf(backend), after)) {
            return await fail("LAGGING");
          }
          if (args !== "READ" && backend.role !== "primary") {
            return await fail("READONLY");
          }
          isPlain = args !== "READ";
          state = "T";
          return await done(id);
        case "COMMIT":
        case "ROLLBACK":
          return await end(id, word === "COMMIT");
        case "SET":
          values.set(...splitFields(args, 2));
          return await done(id);
        case "PREPARE": {
          const [statement, access, shape] = splitFields(args, 3);
          prepared.set(statement, { access, shape });
          return await done(id);
        }
        case "DEALLOC":
          prepared.delete(args);
          return await done(id);
        case "RESET":
          values.clear();
          prepared.clear();
          return await done(id);
        case "PAUSE":
          if (backend.role === "replica" && Number(args) > backend.term) {
            backend.pausedTerm = Number(args);
          }
          return await report(id);
        case "RESUME":
          backend.pausedTerm = 0;
          return await report(id);
        case "STEPDOWN":
          if (backend.role === "primary" && Number(args) > backend.term) {
            backend.role = "replica";
            register(backend);
          }
          return await report(id);
        case "STATUS":
          return await report(id);
        case "READ":
        case "WRITE":
        case "EXEC":
          return await runStatement(id, text, after);
        default:
          return await fail("MALFORMED");
      }
    }

    const report = (id) =>
      done(id, [
        [
          backend.role,
          backend.term,
          format(endOf(backend)),
          backend.pausedTerm,
          lagMs,
          0,
          backend.sockets.size,
        ].join(" "),
      ]);

    readLines(socket, (line) => {
      if (!isServing()) {
        return;
      }
      if (state === undefined) {
        const [word, service, , expected = backend.id] = line.split(" ");
        if (backend.sockets.size > maxConns) {
          socket.end(`ERR MAXCONN ${backend.id}\r\n`);
        } else if (
          word !== "START" || service !== name || expected !== backend.id
        ) {
          socket.end(`ERR WRONGNODE ${backend.id}\r\n`);
        } else {
          state = "I";
          void send(ready());
        }
        return;
      }
      const [, id, text = ""] = splitFields(line, 3);
      work = work.then(async () => {
        if (isServing()) {
          await command(id, text);
        }
        lostId = undefined;
      });
    });
  }

  return Object.assign(group, {
    register,
    restart,
    crash,
    /** Starts the heartbeats; the result stops them. */
    startHeartbeats() {
      function beat(backend) {
        if (isUp(backend)) {
          register(backend);
        }
        const silentMs = Date.now() - backend.registeredAt;
        if (silentMs > LAPSE_MS && store.get("servers", backend.id)) {
          store.remove("servers", backend.id);
        }
      }
      const timers = [];
      for (const [index, backend] of group.backends.entries()) {
        register(backend);
        // Each process has a phase of its own.
        const phaseMs = (index * HEARTBEAT_MS) / group.backends.length;
        timers.push(setTimeout(() => {
          beat(backend);
          timers.push(setInterval(() => beat(backend), HEARTBEAT_MS));
        }, phaseMs));
      }
      return () => timers.forEach((timer) => clearInterval(timer));
    },
  });
}
