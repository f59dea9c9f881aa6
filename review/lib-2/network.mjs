// Paths between machines that can be cut: each host reaches each server and
// each other host through a relay of its own. A cut path loses what is sent, in
// both directions, and does not answer new connections.

import { createSocket } from "node:dgram";
import { connect, createServer } from "node:net";
import { listen } from "./store.mjs";

const HOST = "127.0.0.1";

/** Creates the paths; `isCut(from, to)` is asked for each piece of data. */
export function createNetwork({ isCut, nameHost }) {
  /** Port by which a host reaches a server or another host. */
  const ports = new Map();
  const closers = [];

  async function relayStream(from, to, port) {
    const sockets = new Set();
    const server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ host: HOST, port, allowHalfOpen: true });
      for (const [one, other] of [[near, far], [far, near]]) {
        sockets.add(one);
        one.setNoDelay(true);
        one.on("data", (data) => {
          if (!isCut(from, to) && !other.destroyed) {
            other.write(data);
          }
        });
        one.on("end", () => !isCut(from, to) && other.end());
        one.on("error", () => !isCut(from, to) && other.destroy());
        one.on("close", () => {
          sockets.delete(one);
          if (!isCut(from, to)) {
            other.destroy();
          }
        });
      }
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
