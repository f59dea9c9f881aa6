// Stand-in for a database group: a primary and replicas that speak the line
// protocol, each on its own port.

import { createServer } from "node:net";
import { listen } from "./store.mjs";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const atLeast = (a, b) =>
  a.term > b.term || (a.term === b.term && a.no >= b.no);
const show = ({ term, no }) => `${term}.${no}`;
const parse = (text) => {
  const [term, no] = text.split(".").map(Number);
  return { term, no };
};

/**
 * Starts a group, in which the last `startLater` servers start with `start`.
 * `isCut` tells whether one server cannot send to another,
 * `getRows` returns the rows of a read beside its value, and
 * `record` gets what ran.
 */
export async function startGroup(options) {
  const {
    service,
    zones,
    slots = 3,
    queueLength = 24,
    workMs = 8,
    lagMs = 60,
    maxConns = 21,
    promoteMs = 600,
    getRows = () => [],
    record = () => {},
    isCut = () => false,
    startLater = 0,
  } = options;
  const servers = [];
  let nextSignature = 1;

  const endOf = ({ log }) => log.at(-1)?.position ?? { term: 1, no: 0 };
  const appliedOf = ({ log, applied }) =>
    log[applied - 1]?.position ?? { term: 1, no: 0 };

  function replicate(primary) {
    let received = 0;
    for (const replica of servers) {
      if (
        replica === primary || replica.role !== "replica" ||
        !replica.isStarted ||
        replica.pausedTerm > 0 || isCut(primary.id, replica.id)
      ) {
        continue;
      }
      replica.log = [...primary.log];
      replica.term = primary.term;
      received++;
      const length = replica.log.length;
      setTimeout(() => {
        replica.applied = Math.max(
          replica.applied,
          Math.min(length, replica.log.length),
        );
      }, replica.lagMs);
    }
    return received;
  }

  /** Returns the value of an item that is visible at a server. */
  function getValue({ log, applied }, item) {
    for (let i = applied - 1; i >= 0; i--) {
      const write = log[i].writes.findLast((entry) => entry.item === item);
      if (write) {
        return write.data;
      }
    }
    return "none";
  }

  async function append(primary, writes) {
    const { term } = primary;
    const entry = {
      position: { term, no: endOf(primary).no + 1 },
      writes,
    };
    primary.log.push(entry);
    primary.applied = primary.log.length;
    for (;;) {
      if (primary.role !== "primary" || primary.term !== term) {
        return undefined;
      }
      if (replicate(primary) > 0) {
        return entry.position;
      }
      await sleep(5);
    }
  }

  async function takeSlot(server) {
    if (server.busy < slots) {
      server.busy++;
      return true;
    }
    if (server.queue.length >= queueLength) {
      return false;
    }
    await new Promise((resolve) => server.queue.push(resolve));
    return true;
  }

  function freeSlot(server) {
    const next = server.queue.shift();
    if (next) {
      next();
    } else {
      server.busy--;
    }
  }

  function serve(server, socket) {
    const prepared = new Map();
    const values = new Map();
    let tenant;
    let buffer = "";
    let state = "I";
    let isPlain = false;
    let writes = [];
    let tail = Promise.resolve();
    const sockets = server.sockets;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.setEncoding("latin1");
    socket.on("error", () => socket.destroy());
    socket.on("close", () => sockets.delete(socket));
    socket.on("data", (chunk) => {
      buffer += chunk;
      for (
        let end = buffer.indexOf("\r\n");
        end >= 0;
        end = buffer.indexOf("\r\n")
      ) {
        const line = buffer.slice(0, end);
        buffer = buffer.slice(end + 2);
        tail = tail.then(() => handle(line));
      }
    });

    const ready = () => `READY ${state} ${show(appliedOf(server))}\r\n`;
    const send = (text) => !socket.destroyed && socket.write(text, "latin1");
    const done = (rows = [], signature = "-") =>
      send(
        rows.map((row) => `ROW ${row}\r\n`).join("") +
          `DONE ${signature}\r\n${ready()}`,
      );
    const fail = (code) => {
      if (state === "T" && code !== "BUSY") {
        state = "E";
      }
      send(`ERR ${code} ${server.id}\r\n${ready()}`);
    };

    function status() {
      done([
        [
          server.role,
          server.term,
          show(endOf(server)),
          server.pausedTerm,
          server.role === "primary" ? 0 : server.lagMs,
          server.busy,
          sockets.size,
        ].join(" "),
      ]);
    }

    async function handle(line) {
      if (socket.destroyed) {
        return;
      }
      if (tenant === undefined) {
        const [word, name, who, id] = line.split(" ");
        if (
          word !== "START" || name !== service ||
          (id !== undefined && id !== server.id)
        ) {
          socket.end(`ERR WRONGNODE ${server.id}\r\n`);
          return;
        }
        if (sockets.size > maxConns) {
          socket.end(`ERR MAXCONN ${server.id}\r\n`);
          return;
        }
        tenant = who;
        send(ready());
        return;
      }
      if (line === "QUIT") {
        socket.end();
        return;
      }
      const [, id = "", ...rest] = line.split(" ");
      await query(id, rest.join(" "));
    }

    async function query(id, whole) {
      let text = whole;
      let after;
      if (text.startsWith("AFTER ")) {
        const [, position] = text.split(" ");
        after = parse(position);
        text = text.slice(7 + position.length);
      }
      const [word, ...args] = text.split(" ");
      switch (word) {
        case "STATUS":
          return status();
        case "PAUSE":
          if (server.role === "replica" && Number(args[0]) > server.term) {
            server.pausedTerm = Number(args[0]);
          }
          return status();
        case "RESUME":
          server.pausedTerm = 0;
          return status();
        case "STEPDOWN":
          if (server.role === "primary" && Number(args[0]) > server.term) {
            server.role = "replica";
            group.onRole();
          }
          return status();
        case "RESET":
          values.clear();
          prepared.clear();
          return done();
        case "SET":
          values.set(args[0], args.slice(1).join(" "));
          return done();
        case "PREPARE":
          prepared.set(args[0], {
            access: args[1],
            shape: args.slice(2).join(" "),
          });
          return done();
        case "DEALLOC":
          return prepared.delete(args[0]) ? done() : fail("NOSTMT");
        case "ROLLBACK":
          state = "I";
          writes = [];
          return done();
        case "BEGIN":
          if (state !== "I") {
            return fail("MALFORMED");
          }
          if (after && !atLeast(appliedOf(server), after)) {
            return fail("LAGGING");
          }
          if (args[0] !== "READ" && server.role !== "primary") {
            return fail("READONLY");
          }
          isPlain = args[0] !== "READ";
          writes = [];
          state = "T";
          return done();
        case "READ":
        case "WRITE":
        case "EXEC":
        case "COMMIT":
          return await run(id, { word, args, text, after });
        default:
          return fail("MALFORMED");
      }
    }

    async function run(id, { word, args, text, after }) {
      if (state === "E") {
        if (word === "COMMIT") {
          state = "I";
          return send(`ERR ABORTED ${server.id}\r\n${ready()}`);
        }
        return fail("MALFORMED");
      }
      const statement = word === "EXEC" ? prepared.get(args[0]) : undefined;
      if (word === "EXEC" && !statement) {
        return fail("NOSTMT");
      }
      const isWrite = word === "WRITE" || statement?.access === "WRITE";
      if (!await takeSlot(server)) {
        return fail("BUSY");
      }
      try {
        if (after && !atLeast(appliedOf(server), after)) {
          return fail("LAGGING");
        }
        const needsLead = isWrite || (state === "T" && isPlain);
        const mayEnd = word === "COMMIT" && writes.length === 0;
        if (needsLead && !mayEnd && server.role !== "primary") {
          return fail("READONLY");
        }
        const position = appliedOf(server);
        const value = getValue(server, statement ? args[1] : args[0]);
        await sleep(workMs);
        if (socket.destroyed && word !== "COMMIT" && !isWrite) {
          return;
        }
        record({
          id,
          server: server.id,
          tenant,
          text: text.slice(0, 80),
          position: show(position),
          state,
        });
        const signature = `${server.id}-${nextSignature++}`;
        if (word === "COMMIT") {
          const committed = writes;
          writes = [];
          state = "I";
          if (committed.length > 0 && !await append(server, committed)) {
            return socket.destroy();
          }
          return done([], signature);
        }
        const [item, ...data] = statement ? args.slice(1) : args;
        const write = { id, item, data: data.join(" ") };
        if (isWrite && state === "T") {
          writes.push(write);
          return done([], signature);
        }
        if (isWrite) {
          if (!await append(server, [write])) {
            return socket.destroy();
          }
          return done([], signature);
        }
        const rows = getRows(text);
        return done(rows.length > 0 ? rows : [value], signature);
      } finally {
        freeSlot(server);
      }
    }
  }

  for (const [index, zone] of zones.entries()) {
    const server = {
      id: `${service}-${index}`,
      zone,
      role: index === 0 ? "primary" : "replica",
      term: 1,
      log: [],
      applied: 0,
      pausedTerm: 0,
      lagMs,
      busy: 0,
      queue: [],
      sockets: new Set(),
      state: "ready",
      isStarted: index < zones.length - startLater,
      born: Date.now(),
      seq: 0,
    };
    server.listener = createServer((socket) => serve(server, socket));
    server.port = await listen(server.listener);
    servers.push(server);
  }

  const group = {
    service,
    servers,
    slots,
    maxConns,
    onRole: () => {},
    isRunning: (id) =>
      servers.some((server) => server.id === id && server.isStarted),
    start(id) {
      const server = servers.find((entry) => entry.id === id);
      server.isStarted = true;
      server.born = Date.now();
      const primary = servers.find(({ role }) => role === "primary");
      if (primary) {
        replicate(primary);
      }
    },
    async promote(id) {
      const next = servers.find((server) => server.id === id);
      if (next.role === "primary") {
        return;
      }
      await sleep(promoteMs);
      const term = Math.max(...servers.map((server) => server.term)) + 1;
      for (const server of servers) {
        server.role = server === next ? "primary" : "replica";
        server.pausedTerm = 0;
      }
      next.term = term;
      next.applied = next.log.length;
      for (const server of servers) {
        if (
          server !== next && server.isStarted && !isCut(next.id, server.id)
        ) {
          server.log = [...next.log];
          server.applied = Math.min(server.applied, server.log.length);
        }
      }
      group.onRole();
    },
    close() {
      for (const { listener, sockets } of servers) {
        sockets.forEach((socket) => socket.destroy());
        listener.close();
      }
    },
  };
  return group;
}
