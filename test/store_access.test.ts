/**
 * Patterns: a store that turns some hosts away and serves others; calls over a
 * peer, one path for each call; introduction to hosts that know nobody.
 */

import { Ok } from "ts-results-es";
import { afterEach, expect, test, vi } from "vitest";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import { createAddressBook } from "../src/pooling/address_book.ts";
import { createStoreRelay } from "../src/pooling/store_relay.ts";
import type { EraCalls } from "../src/core/store_era.ts";
import type { ForwardResponse, PoolIo } from "../src/pooling/types.ts";
import { type PoolFleet, startPoolFleet } from "./pool_fleet.ts";

let fleet: PoolFleet | undefined;

afterEach(() => {
  fleet?.stop();
  fleet = undefined;
});

function listPaths(): string[] {
  return fleet!.logLines.filter(({ event }) => event === "store_path_changed")
    .map(({ fields }) => `${fields.previous} > ${fields.path}`);
}

/** Returns the version that a host has in force. */
function getVersion(): unknown {
  return fleet!.logLines.filter(({ event }) =>
    event === "configuration_applied"
  ).at(-1)?.fields.version;
}

// Guards against a path that is kept after the other one works again.
test("a host that the store turns away uses a peer until the store answers", async () => {
  fleet = await startPoolFleet({ hosts: 3 });
  fleet.logLines.length = 0;
  fleet.hostsWithoutStore.add("h1");
  await vi.advanceTimersByTimeAsync(12_000);
  expect(listPaths()).toEqual(["direct > none", "none > relayed"]);
  const version = getVersion();
  fleet.setCatalog();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(getVersion()).not.toBe(version);
  fleet.hostsWithoutStore.delete("h1");
  await vi.advanceTimersByTimeAsync(2_000);
  expect(listPaths().at(-1)).toBe("relayed > direct");
});

// Guards against a host that stays without the store when its relay ends.
test("another peer takes over when the relay ends", async () => {
  fleet = await startPoolFleet({ hosts: 4 });
  fleet.hostsWithoutStore.add("h1");
  await vi.advanceTimersByTimeAsync(12_000);
  const relay = fleet.logLines.find(({ event, fields }) =>
    event === "store_path_changed" && fields.path === "relayed"
  )!.fields.relay as string;
  fleet.killHost(Number(relay.slice(1)));
  await vi.advanceTimersByTimeAsync(5_000);
  expect(listPaths().at(-1)).toBe("none > relayed");
  const last = fleet.logLines.filter(({ event }) =>
    event === "store_path_changed"
  ).at(-1)!;
  expect(last.fields.relay).not.toBe(relay);
});

// Guards against an address book that anyone can write to.
test("a host that the store serves hears no unknown host", async () => {
  fleet = await startPoolFleet({ hosts: 2 });
  fleet.logLines.length = 0;
  fleet.hostsWithoutStore.add("h2");
  fleet.startHost();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(fleet.logLines.filter(({ event }) => event === "host_introduced"))
    .toEqual([]);
});

test("an introduced address goes once its host is registered or not needed", () => {
  const published: ReadonlyMap<HostId, string>[] = [];
  const io = {
    peers: {
      setAddresses: (known: ReadonlyMap<HostId, string>) =>
        published.push(known),
    },
    streams: { setAddresses() {} },
    log: { info() {} },
  } as unknown as PoolIo;
  const book = createAddressBook(io);
  const [a, b] = ["a", "b"].map((name) => asId<HostId>(name)) as [
    HostId,
    HostId,
  ];
  book.addIntroduced(a, "10.0.0.1:1");
  book.addIntroduced(b, "10.0.0.2:1");
  book.setRegistered(new Map([[a, "10.0.0.3:1"]]));
  expect([...published.at(-1)!]).toEqual([[a, "10.0.0.3:1"], [
    b,
    "10.0.0.2:1",
  ]]);
  book.clearIntroduced();
  expect([...published.at(-1)!]).toEqual([[a, "10.0.0.3:1"]]);
});

/** Creates a relay that serves writes of host `h1`, and collects its replies. */
function createRelay(calls: EraCalls, isDirect = () => true) {
  const sent: ForwardResponse[] = [];
  const relay = createStoreRelay(
    {
      log: { info() {}, request() {} },
      metrics: { count() {} },
    } as unknown as PoolIo,
    { calls, isDirect, isWritable: (key) => key.startsWith("own/") },
  );
  const stream = {
    send: (msg: ForwardResponse) => void sent.push(msg),
    ping() {},
    close() {},
  };
  const serve = (id: number, key: string) =>
    relay.serve(asId("h1"), stream, {
      kind: "store_call",
      id,
      request: { kind: "put", key: asId(key), value: 1, ifVersion: 1 },
    });
  return { serve, sent };
}

// Guards against a relay through which a peer could change what others own.
test("a relay writes only objects of the hosts, and only over its own path", async () => {
  const written: string[] = [];
  let isDirect = true;
  const { serve, sent } = createRelay({
    put: (key: ObjectKey) => {
      written.push(key);
      return Promise.resolve({
        era: 3,
        result: Ok({ key, version: 2, value: 1 }),
      });
    },
  } as unknown as EraCalls, () => isDirect);
  serve(0, "own/a");
  serve(1, "config/main");
  isDirect = false;
  serve(2, "own/a");
  await vi.waitFor(() => expect(sent).toHaveLength(3));
  expect(written).toEqual(["own/a"]);
  expect(sent.sort((x, y) => idOf(x) - idOf(y))).toMatchSnapshot();
});

// Guards against a call of a peer that ends the process of the relay.
test("a relay goes on after a request that it cannot send", async () => {
  const { serve, sent } = createRelay({
    put: () => Promise.reject(new TypeError("cannot serialize a BigInt")),
  } as unknown as EraCalls);
  serve(0, "own/a");
  serve(1, "own/a");
  await vi.waitFor(() => expect(sent).toHaveLength(2));
  expect(sent.map((msg) => msg.kind === "store_reply" && msg.result.kind))
    .toEqual(["rejected", "rejected"]);
});

function idOf(msg: ForwardResponse): number {
  return msg.kind === "leaving" ? -1 : msg.id;
}
