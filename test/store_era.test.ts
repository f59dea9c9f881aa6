import { createServer } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { afterEach, expect, test, vi } from "vitest";
import { createObjectStore } from "../platform/object_store.ts";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import {
  createEraStore,
  type EraCalls,
  type EraRes,
} from "../src/core/store_era.ts";
import type {
  EraChange,
  PlatformErr,
  StoredObject,
} from "../src/core/types.ts";
import { createStoreFeed } from "../src/pooling/store_feed.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import { createEraCalls, isExternalKey } from "./era_calls.ts";

afterEach(() => void vi.useRealTimers());

const KEY = asId<ObjectKey>("turmericchute-fleet/a");

/** Creates a store whose calls are answered one by one by the test. */
function createManualStore() {
  const pending: ((res: EraRes<StoredObject>) => void)[] = [];
  const wait = () =>
    new Promise<EraRes<StoredObject>>((resolve) => void pending.push(resolve));
  const store = createEraStore({ get: wait, put: wait } as unknown as EraCalls);
  const rises: EraChange[] = [];
  store.eras!.onRise((change) => void rises.push(change));
  return {
    store,
    rises,
    answer: (index: number, era: number | undefined, version = 1) =>
      pending[index]!({ era, result: Ok({ key: KEY, version, value: era }) }),
  };
}

function getKind(result: Result<unknown, PlatformErr>): string {
  return result.isOk() ? "ok" : result.error.kind;
}

test("a response of an older era that arrives after a newer one is dropped", async () => {
  const { store, rises, answer } = createManualStore();
  const first = store.get(KEY);
  answer(0, 1);
  expect(getKind(await first)).toBe("ok");
  const late = store.get(KEY);
  const newer = store.get(KEY);
  answer(2, 2);
  answer(1, 1);
  expect(getKind(await newer)).toBe("ok");
  expect(getKind(await late)).toBe("outdated");
  expect(rises).toEqual([{ era: 2, previous: 1 }]);
});

test("a write on a revision of an older era does not count as accepted", async () => {
  const { store, answer } = createManualStore();
  const first = store.get(KEY);
  answer(0, 1);
  await first;
  const write = store.put(KEY, "x", { ifVersion: 1 });
  answer(1, 2);
  expect(getKind(await write)).toBe("outdated");
  const next = store.put(KEY, "x", { ifVersion: 1 });
  answer(2, 2);
  expect(getKind(await next)).toBe("ok");
});

test("two returns shortly after one another are two rises, or one by two", async () => {
  const { store, rises, answer } = createManualStore();
  const reads = [1, 2, 3, 4, 5].map(() => store.get(KEY));
  [1, 2, 3, 5, 4].forEach((era, index) => answer(index, era));
  expect((await Promise.all(reads)).map(getKind))
    .toEqual(["ok", "ok", "ok", "ok", "outdated"]);
  expect(rises).toEqual([
    { era: 2, previous: 1 },
    { era: 3, previous: 2 },
    { era: 5, previous: 3 },
  ]);
});

test("responses without an era pass unchecked", async () => {
  const { store, rises, answer } = createManualStore();
  const reads = [store.get(KEY), store.get(KEY)];
  answer(0, 2);
  answer(1, undefined);
  expect((await Promise.all(reads)).map(getKind)).toEqual(["ok", "ok"]);
  expect(store.eras!.tryGet()).toBe(2);
  expect(rises).toEqual([]);
});

test("the store client reads the era of every response", async () => {
  const server = createPlatformServer(
    createPlatformCore({ versionsAreRevisions: true }),
  );
  const url = `http://127.0.0.1:${await listen(server, 0)}`;
  const control = (path: string, body?: unknown) =>
    fetch(`${url}/control/${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
  const store = createObjectStore(url, { caller: "h0" });
  const rises: EraChange[] = [];
  store.eras!.onRise((change) => void rises.push(change));
  try {
    const created = (await store.put(KEY, "x", { ifVersion: 0 })).unwrap();
    expect(store.eras!.tryGet()).toBe(1);
    await control("copy");
    const { revision } = (await store.list("turmericchute-fleet/")).unwrap();
    (await store.put(KEY, "y", { ifVersion: created.version })).unwrap();
    await control("return");
    const write = await store.put(KEY, "z", { ifVersion: created.version });
    expect(getKind(write)).toBe("outdated");
    await control("return");
    await control("faults", { down: true });
    expect(getKind(await store.get(KEY))).toBe("unreachable");
    expect(rises).toEqual([
      { era: 2, previous: 1 },
      { era: 3, previous: 2 },
    ]);
    await control("faults", {});
    const watched = await store.watch("turmericchute-fleet/", {
      after: revision + 1,
      waitMs: 0,
    });
    expect(getKind(watched)).toBe("history_gone");
  } finally {
    server.closeAllConnections();
    server.close();
  }
});

// Guards against a list whose pages come from both sides of a return.
test("pages of different eras do not form a list", async () => {
  const pages = [{ era: "1", truncated: true }, { era: "2", truncated: false }];
  const server = createServer((_, res) => {
    const { era, truncated } = pages.shift()!;
    const items = [{ meta: { name: `n${era}`, rev: 5 }, spec: 1 }];
    res.setHeader("store-era", era);
    res.end(JSON.stringify({ items, truncated, currentRev: 9 }));
  });
  const url = `http://127.0.0.1:${await listen(server, 0)}`;
  const store = createObjectStore(url, { caller: "h0" });
  try {
    expect(getKind(await store.list("fleet/"))).toBe("outdated");
    expect(store.eras!.tryGet()).toBe(2);
  } finally {
    server.closeAllConnections();
    server.close();
  }
});

// Guards against a revision that was given out again: the watch went on from it
// and missed every change below it.
test("a feed lists again at once when any response shows a new era", async () => {
  vi.useFakeTimers();
  const core = createPlatformCore({ versionsAreRevisions: true });
  const put = (name: string, value: unknown) => {
    const key = asId<ObjectKey>(`turmericchute-fleet/${name}`);
    core.put(key, value, { ifVersion: core.get(key).version }).unwrap();
  };
  const state = { isDeaf: false };
  const calls = createEraCalls(core, {
    isUnreachable: () => false,
    getResponseDelayMs: () => 0,
  });
  const store = createEraStore({
    ...calls,
    // A watch on a connection that the return of the store has broken.
    watch: (...args) =>
      state.isDeaf
        ? new Promise(() => {})
        : calls.watch(...args).then((res) =>
          state.isDeaf ? new Promise(() => {}) : res
        ),
  });
  const lists: string[][] = [];
  const reconnected: number[] = [];
  const feed = createStoreFeed(
    { store, log: { info() {}, request() {} }, random: () => 0.5 },
    {
      prefix: "turmericchute-fleet/",
      handlers: {
        onList: (objects) =>
          void lists.push(objects.map(({ value }) => `${value}`)),
        onChanges() {},
        onReconnected: (outageMs) => void reconnected.push(outageMs),
      },
    },
  );
  put("a", "a1");
  const copy = core.takeCopy();
  put("b", "b1");
  feed.start();
  await vi.advanceTimersByTimeAsync(100);
  expect(lists).toEqual([["a1", "b1"]]);
  state.isDeaf = true;
  core.returnTo(copy, { isExternal: isExternalKey });
  put("c", "c1");
  put("d", "d1");
  await vi.advanceTimersByTimeAsync(100);
  expect(lists).toHaveLength(1);
  await store.get(KEY);
  await vi.advanceTimersByTimeAsync(0);
  expect(lists.at(-1)).toEqual(["a1", "c1", "d1"]);
  expect(reconnected).toEqual([0]);
  feed.stop();
});

test("a list whose response shows the new era is the list of that era", async () => {
  vi.useFakeTimers();
  const results = [
    { era: 1, result: Ok({ revision: 9, objects: [] }) },
    { era: 2, result: Ok({ revision: 5, objects: [] }) },
  ];
  const watchedFrom: number[] = [];
  const store = createEraStore({
    list: () => Promise.resolve(results.shift()!),
    watch: (_: string, { after }: { after: number }) => {
      watchedFrom.push(after);
      return watchedFrom.length === 1
        ? Promise.resolve({ era: 1, result: Err({ kind: "history_gone" }) })
        : new Promise(() => {});
    },
  } as unknown as EraCalls);
  const feed = createStoreFeed(
    { store, log: { info() {}, request() {} }, random: () => 0.5 },
    { prefix: "x/", handlers: { onList() {}, onChanges() {} } },
  );
  feed.start();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(watchedFrom).toEqual([9, 5]);
  feed.stop();
});
