// Stand-in for the platform's store and for its promotion endpoint.

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import process from "node:process";

/**
 * Ports are taken below the range from which the kernel picks those of outgoing
 * connections, so that a host finds its ports free after a restart. Processes
 * that run at the same time begin at different ones.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 1_000;
const BLOCKS = 20;
let nextPort = FIRST_PORT + (process.pid % BLOCKS) * PORTS_PER_PROCESS;

function tryListen(server, port) {
  return new Promise((resolve, reject) => {
    const fail = (err) =>
      err.code === "EADDRINUSE" ? resolve(false) : reject(err);
    server.once("error", fail);
    server.listen({ host: "127.0.0.1", port }, () => {
      server.off("error", fail);
      resolve(true);
    });
  });
}

/** Listens on a free port, which no other server of this process gets. */
export async function listen(server) {
  for (;;) {
    const port = nextPort++;
    if (await tryListen(server, port)) {
      return port;
    }
  }
}

function readBody(req) {
  return new Promise((resolve) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const text = Buffer.concat(chunks).toString("utf8");
      try {
        resolve(text === "" ? {} : JSON.parse(text));
      } catch {
        resolve({});
      }
    });
    req.on("error", () => resolve({}));
  });
}

/**
 * Starts a store that loses nothing. Each caller has a port of its own, which
 * can be cut off; `view` tells under which addresses a caller reaches others.
 */
export async function startStore(
  { callers = 1, view = (_, spec) => spec } = {},
) {
  const objects = new Map();
  const history = [];
  const watches = new Set();
  let rev = 100;

  const key = (kind, name) => `${kind}/${name}`;

  function record(kind, object, deleted) {
    history.push({ kind, rev, deleted, object });
    [...watches].forEach((watch) => watch.check());
  }

  function write(kind, name, change) {
    const old = objects.get(key(kind, name));
    const next = { ...(old ?? { spec: null, status: null }), ...change };
    const isSame = old &&
      JSON.stringify([old.spec, old.status]) ===
        JSON.stringify([next.spec, next.status]);
    if (isSame) {
      return old;
    }
    rev++;
    const object = {
      ...next,
      meta: {
        name,
        rev,
        createRevision: old?.meta.createRevision ?? rev,
        finalizers: [],
        deleting: false,
      },
    };
    objects.set(key(kind, name), object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const old = objects.get(key(kind, name));
    if (old) {
      objects.delete(key(kind, name));
      rev++;
      record(kind, { ...old, meta: { ...old.meta, rev } }, true);
    }
  }

  const cutOff = new Set();

  function send(res, status, whole) {
    const { caller } = res;
    if (cutOff.has(caller)) {
      return;
    }
    const show = (object) =>
      object?.meta
        ? { ...object, spec: view(caller, object.spec, object.meta.name) }
        : object;
    const body = whole.items
      ? { ...whole, items: whole.items.map(show) }
      : whole.events
      ? {
        ...whole,
        events: whole.events.map((event) => ({
          ...event,
          object: show(event.object),
        })),
      }
      : show(whole);
    if (!res.destroyed) {
      const text = JSON.stringify(body);
      res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "store-era": "1",
      });
      res.end(text);
    }
  }

  function watch(res, { kind, after, waitMs }) {
    if (after > rev) {
      send(res, 410, {});
      return;
    }
    const entry = {
      check(isDue = false) {
        const events = history
          .filter((event) => event.kind === kind && event.rev > after)
          .map(({ object, deleted }) => ({ object, deleted }));
        if (events.length > 0 || isDue) {
          watches.delete(entry);
          clearTimeout(timer);
          send(res, 200, { events, currentRev: rev });
        }
      },
    };
    const timer = setTimeout(() => entry.check(true), waitMs);
    res.on("close", () => {
      watches.delete(entry);
      clearTimeout(timer);
    });
    watches.add(entry);
    entry.check();
  }

  const serve = async (req, res, caller) => {
    res.caller = caller;
    const url = new URL(req.url, "http://store");
    const [, root, kind, name, sub] = url.pathname.split("/")
      .map(decodeURIComponent);
    const body = await readBody(req);
    if (cutOff.has(caller)) {
      return;
    }
    if (root !== "objects" || !kind) {
      return send(res, 404, {});
    }
    const old = name === undefined ? undefined : objects.get(key(kind, name));
    if (req.method === "GET" && name === undefined) {
      const after = url.searchParams.get("watch");
      if (after !== null) {
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        return watch(res, { kind, after: Number(after), waitMs });
      }
      const items = [...objects]
        .filter(([id]) => id.startsWith(`${kind}/`))
        .map(([, object]) => object);
      return send(res, 200, { items, truncated: false, currentRev: rev });
    }
    if (req.method === "GET") {
      return old ? send(res, 200, old) : send(res, 404, {});
    }
    if (req.method === "POST") {
      const id = body.meta?.name;
      const existing = objects.get(key(kind, id));
      return existing
        ? send(res, 409, existing)
        : send(res, 200, write(kind, id, { spec: body.spec ?? null }));
    }
    const expected = body.meta?.rev ?? url.searchParams.get("rev");
    if (!old) {
      return send(res, 404, {});
    }
    if (
      expected !== null && expected !== undefined &&
      Number(expected) !== old.meta.rev
    ) {
      return send(res, 409, old);
    }
    if (req.method === "PUT") {
      const change = sub === "status"
        ? { status: body.status ?? null }
        : { spec: body.spec ?? null };
      return send(res, 200, write(kind, name, change));
    }
    remove(kind, name);
    return send(res, 200, old);
  };
  const servers = [];
  const ports = [];
  for (let caller = 0; caller < callers; caller++) {
    const server = createServer((req, res) => serve(req, res, caller));
    servers.push(server);
    ports.push(await listen(server));
  }
  const closeAll = () =>
    servers.forEach((server) => server.closeAllConnections());
  return {
    ports,
    /** Leaves all that a caller asks unanswered, or ends that. */
    setCut: (caller, isCut) =>
      void (isCut ? cutOff.add(caller) : cutOff.delete(caller)),
    put: (kind, name, spec) => write(kind, name, { spec }),
    remove,
    get: (kind, name) => objects.get(key(kind, name)),
    close() {
      closeAll();
      servers.forEach((server) => server.close());
    },
  };
}

/** Starts the endpoint for orders to promote; it checks generation numbers. */
export async function startOrders(groups, onOrder) {
  const seen = new Map();
  const server = createServer(async (req, res) => {
    const { service, id } = await readBody(req);
    const fence = Number(req.headers["fence-token"]);
    const group = groups.find((entry) => entry.service === service);
    const isOld = fence < (seen.get(service) ?? 0);
    const isRunning = group?.isRunning(id) === true;
    const status = isOld || !isRunning ? 409 : 200;
    onOrder({
      service,
      id,
      fence,
      holder: req.headers["lease-holder"],
      status,
    });
    if (!isOld) {
      seen.set(service, fence);
    }
    if (status === 200) {
      await group.promote(id);
    }
    res.writeHead(status).end();
  });
  const port = await listen(server);
  return {
    port,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
