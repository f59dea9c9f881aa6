/** Stand-in of the platform: the object store and the promotion endpoint. */

import { createServer } from "node:http";

/** Reads a request's JSON body. */
async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? undefined : JSON.parse(text);
}

/** Listens on a free port of a loopback address; resolves with the port. */
export function listenOnLoopback(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve(server.address().port));
  });
}

/** Creates the store. Revisions start above 0 and rise with each change. */
export function createStore() {
  const objects = new Map();
  /** Changes in order, for watches. */
  const history = [];
  const waiters = new Set();
  let revision = 10;

  function change(kind, name, spec) {
    revision++;
    const key = `${kind}/${name}`;
    const previous = objects.get(key);
    const isDeleted = spec === undefined;
    const object = {
      meta: {
        name,
        rev: revision,
        createRevision: previous?.meta.createRevision ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec: isDeleted ? previous?.spec : spec,
      status: {},
    };
    if (isDeleted) {
      objects.delete(key);
    } else {
      objects.set(key, object);
    }
    history.push({ kind, revision, event: { object, deleted: isDeleted } });
    waiters.forEach((wake) => wake());
    return object;
  }

  function put(kind, name, spec) {
    const known = objects.get(`${kind}/${name}`);
    return JSON.stringify(known?.spec) === JSON.stringify(spec)
      ? known
      : change(kind, name, spec);
  }

  function listEvents(kind, after) {
    return history.filter((entry) =>
      entry.kind === kind && entry.revision > after
    ).map(({ event }) => event);
  }

  async function watch(kind, after, waitMs, req) {
    const deadline = Date.now() + waitMs;
    while (listEvents(kind, after).length === 0 && Date.now() < deadline) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          req.off("close", wake);
          resolve();
        };
        const timer = setTimeout(wake, deadline - Date.now());
        req.on("close", wake);
        waiters.add(wake);
      });
      if (req.socket.destroyed) {
        break;
      }
    }
    return {
      status: 200,
      body: { events: listEvents(kind, after), currentRev: revision },
    };
  }

  async function answer(req) {
    const url = new URL(req.url, "http://store");
    const [, , kind = "", encoded] = url.pathname.split("/");
    const name = encoded === undefined
      ? undefined
      : decodeURIComponent(encoded);
    if (req.method === "GET" && name === undefined) {
      const after = url.searchParams.get("watch");
      if (after !== null) {
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        return await watch(kind, Number(after), waitMs, req);
      }
      const items = [...objects].filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      return {
        status: 200,
        body: { items, truncated: false, currentRev: revision },
      };
    }
    const known = objects.get(`${kind}/${name}`);
    if (req.method === "GET") {
      return known ? { status: 200, body: known } : { status: 404, body: null };
    }
    const { meta, spec } = await readJson(req);
    const current = objects.get(`${kind}/${meta.name}`);
    if (req.method === "POST") {
      return current
        ? { status: 409, body: current }
        : { status: 201, body: change(kind, meta.name, spec) };
    }
    if (!current) {
      return { status: 404, body: null };
    }
    return meta.rev !== undefined && meta.rev !== current.meta.rev
      ? { status: 409, body: current }
      : { status: 200, body: put(kind, meta.name, spec) };
  }

  const server = createServer(async (req, res) => {
    const { status, body } = await answer(req);
    if (!res.destroyed) {
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(body));
    }
  });
  return {
    server,
    /** Writes an object as the operator or a backend does. */
    put,
    remove: (kind, name) => change(kind, name, undefined),
    get: (kind, name) => objects.get(`${kind}/${name}`)?.spec,
  };
}

/**
 * Creates the endpoint of the singleton duties. Orders with a lower token than
 * one already seen for the service get 409.
 */
export function createOrders(groups, onOrder = () => {}) {
  const tokens = new Map();
  return createServer(async (req, res) => {
    const { service, id } = await readJson(req);
    const token = Number(req.headers["fence-token"]);
    const group = groups.find(({ name }) => name === service);
    const backend = group?.backends.find((entry) => entry.id === id);
    const isRefused = token < (tokens.get(service) ?? 0) ||
      !backend?.isRunning;
    if (!isRefused) {
      tokens.set(service, token);
      await group.promote(backend);
    }
    const status = isRefused ? 409 : 200;
    onOrder({
      service,
      id,
      token,
      status,
      holder: req.headers["lease-holder"],
    });
    res.writeHead(status, { "content-type": "application/json" }).end("{}");
  });
}
