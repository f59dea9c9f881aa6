// Paths between machines that can be cut: each host reaches each server and
// each other host through a relay of its own. A cut holds up the bytes of
// connections, new ones too, and loses datagrams.

import { createSocket } from "node:dgram";
import { connect, createServer } from "node:net";
import { listen } from "./store.mjs";

const HOST = "127.0.0.1";
const POLL_MS = 10;
/** Time after which a connection whose far end is dark is dropped. */
const DARK_MS = 3_000;

/**
 * Creates the paths; `isCut(from, to)` is asked for each piece of data, in its
 * direction.
 */
export function createNetwork({ isCut, nameHost }) {
  /** Port by which a host reaches a server or another host. */
  const ports = new Map();
  const closers = [];

  /** Calls back as soon as the path is not cut any more. */
  function whenJoined(from, to, callback) {
    const timer = setInterval(() => {
      if (!isCut(from, to)) {
        clearInterval(timer);
        callback();
      }
    }, POLL_MS);
    closers.push(() => clearInterval(timer));
  }

  /** Passes bytes on in one direction; a cut holds them up. */
  function passOn(from, to, [source, target]) {
    const held = [];
    const write = () => {
      for (const data of held.splice(0)) {
        target.write(data);
      }
    };
    source.setNoDelay(true);
    source.on("data", (data) => {
      held.push(data);
      if (!isCut(from, to)) {
        write();
      } else if (held.length === 1) {
        whenJoined(from, to, write);
      }
    });
    source.on("error", () => {});
    source.on("close", () => {
      if (!isCut(from, to)) {
        target.end();
        return;
      }
      // What is held up is lost with its sender.
      held.length = 0;
      setTimeout(() => target.destroy(), DARK_MS);
    });
  }

  async function relayStream(from, to, port) {
    const sockets = new Set();
    const server = createServer((near) => {
      const far = connect({ host: HOST, port });
      for (const socket of [near, far]) {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
      }
      passOn(from, to, [near, far]);
      passOn(to, from, [far, near]);
    });
    const bound = await listen(server);
    ports.set(`${from} ${to}`, bound);
    closers.push(() => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    });
    return bound;
  }

  function bindDatagrams(port) {
    const socket = createSocket("udp4");
    closers.push(() => socket.close());
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, HOST, () => resolve(socket));
    });
  }

  /** Joins two hosts: each sees the other under the address of its relay. */
  async function joinHosts(a, b) {
    const ends = [];
    for (const [from, to] of [[a, b], [b, a]]) {
      const bound = await relayStream(from.name, to.name, to.port);
      ends.push({ from, to, socket: await bindDatagrams(bound) });
    }
    for (const [index, { from, to, socket }] of ends.entries()) {
      const out = ends[1 - index].socket;
      socket.on("message", (data) => {
        if (!isCut(from.name, to.name)) {
          out.send(data, to.port, HOST);
        }
      });
      socket.on("error", () => {});
    }
  }

  return {
    async connect({ groups, peers }) {
      const hosts = peers.map((port, i) => ({ name: nameHost(i), port }));
      for (const host of hosts) {
        for (const { servers } of groups) {
          for (const { id, port } of servers) {
            await relayStream(host.name, id, port);
          }
        }
      }
      for (const [i, host] of hosts.entries()) {
        for (const other of hosts.slice(i + 1)) {
          await joinHosts(host, other);
        }
      }
    },
    /** Shows an entry of the store with the addresses of the caller's relays. */
    view(caller, spec, name) {
      const from = nameHost(caller);
      const toRelay = (id, address) => {
        const port = ports.get(`${from} ${id}`);
        return port === undefined ? address : `${HOST}:${port}`;
      };
      const id = name.replace(/^host\./, "");
      if (spec?.addr !== undefined) {
        return { ...spec, addr: toRelay(id, spec.addr) };
      }
      if (spec?.peers !== undefined) {
        return { ...spec, peers: toRelay(id, spec.peers) };
      }
      if (Array.isArray(spec?.copies)) {
        const copies = spec.copies.map((copy) => ({
          ...copy,
          address: toRelay(copy.id, copy.address),
        }));
        return { ...spec, copies };
      }
      return spec;
    },
    close: () => closers.forEach((close) => close()),
  };
}
