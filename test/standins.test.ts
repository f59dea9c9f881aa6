import { expect, test } from "vitest";
import { asId, type TargetId } from "../src/core/ids.ts";
import { issueKey } from "../src/core/keys.ts";
import { createTargetNode } from "../standins/target_node.ts";
import { pack } from "msgpackr";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import { encodeCatalog, encodeTarget } from "../standins/wire_objects.ts";
import { tryDecodeCatalog } from "../platform/decode_catalog.ts";
import { tryDecodeTarget } from "../platform/decode_target.ts";
import type { Catalog, TargetRecord } from "../src/pooling/types.ts";

test("a target counts only the frames that contain a caller's key", () => {
  const node = createTargetNode({
    target: asId<TargetId>("t1"),
    initialRole: { kind: "primary" },
    slots: 1,
    maxConnections: 1,
    connectMs: 0,
    statementMs: 0,
    latencyMs: 0,
    lagMs: 0,
  }, () => Promise.resolve(undefined));
  const { secret } = issueKey(asId("w"));
  node.scanForKeys(
    pack({ rid: 1, req: { kind: "status" } }).toString("latin1"),
  );
  expect(node.keyHits).toBe(0);
  node.scanForKeys(pack({ rid: 2, req: { body: secret } }).toString("latin1"));
  expect(node.keyHits).toBe(1);
  node.stop();
});

test("a store that returns to a copy keeps only what others wrote since", () => {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const put = (key: string, value: unknown) =>
    core.put(asId(key), value, { ifVersion: core.get(asId(key)).version })
      .unwrap().version;
  put("config/main", "c1");
  put("servers/t1", "ready");
  put("fleet/duty", "claim 1");
  const copy = core.takeCopy();
  const lostRevision = put("fleet/duty", "claim 2");
  put("fleet/host", "h0");
  put("config/main", "c2");
  core.remove(asId("servers/t1"));
  const lastRevision = put("fleet/duty", "claim 3");
  core.returnTo(copy, { isExternal: (key) => !key.startsWith("fleet/") });

  expect(core.getEra()).toBe(2);
  const values = core.list("").objects.map(({ key, value }) => [key, value]);
  expect(Object.fromEntries(values)).toEqual({
    "config/main": "c2",
    "fleet/duty": "claim 1",
  });
  expect(core.changesAfter("", lastRevision).unwrapErr().kind)
    .toBe("history_gone");
  // Revisions are given out again, now for other changes.
  expect(core.get(asId("config/main")).version).toBe(lostRevision);
  expect(core.changesAfter("", copy.revision).unwrap().objects).toHaveLength(2);
});

test("every response of the store stand-in names the era", async () => {
  const server = createPlatformServer();
  const url = `http://127.0.0.1:${await listen(server, 0)}`;
  const getEra = async (path: string) =>
    (await fetch(url + path)).headers.get("store-era");
  const post = (path: string, body?: unknown) =>
    fetch(url + path, { method: "POST", body: JSON.stringify(body) });
  try {
    await post("/control/copy");
    await post("/objects/fleet", { meta: { name: "a" }, spec: 1 });
    expect(await getEra("/objects/fleet/a")).toBe("1");
    await post("/control/return");
    expect(await getEra("/objects/fleet/a")).toBe("2");
    const watched = await fetch(`${url}/objects/fleet?watch=1&waitMs=0`);
    expect(watched.status).toBe(410);
    expect(watched.headers.get("store-era")).toBe("2");
    await post("/control/faults", { down: true });
    expect(await getEra("/objects/fleet")).toBe("2");
  } finally {
    server.closeAllConnections();
    server.close();
  }
});

test("what the stand-ins write to the store is decoded to the same", () => {
  const target: TargetRecord = {
    id: asId("t1"),
    incarnation: 7,
    service: asId("s"),
    address: "127.0.0.1:80",
    domain: asId("d"),
    slots: 3,
    isDraining: true,
    role: "replica",
  };
  expect(tryDecodeTarget({
    key: asId("servers/t1"),
    version: 1,
    value: encodeTarget(target),
  })).toEqual(target);
  const consistencies = [
    { kind: "primary" },
    { kind: "bounded", maxStaleMs: 1_500 },
    { kind: "session", maxStaleMs: 2_500 },
  ] as const;
  const catalog: Catalog = {
    version: 4,
    routes: new Map(consistencies.map((consistency, priority) => {
      const route = {
        database: asId<never>(`db-${consistency.kind}`),
        service: asId<never>("s"),
        consistency,
        statementTimeoutMs: 900,
        objectiveMs: 800,
        priority,
        isPublic: priority === 1,
      };
      return [route.database, route];
    })),
    services: new Map([[asId("s"), {
      service: asId("s"),
      maxConnections: 6,
      syncReplicas: 1,
    }]]),
    quotas: new Map([[asId("w"), { ratePerS: 5, burst: 8 }]]),
    workspaceByKey: new Map([["k1", asId("w")], ["k2", asId("w")]]),
    transactionIdleMs: 1_200,
  };
  expect(tryDecodeCatalog(encodeCatalog(catalog))).toEqual(catalog);
  const [name, route] = [...catalog.routes][0]!;
  const withHomes: Catalog = {
    ...catalog,
    routes: new Map([[name, { ...route, homeRegions: ["r1"] }]]),
    services: new Map([[asId("s"), {
      ...catalog.services.get(asId("s"))!,
      cold: { durationMs: 20_000, ratePerS: 30 },
    }]]),
    homesByWorkspace: new Map([[asId("w"), ["r1", "r2"]]]),
  };
  expect(tryDecodeCatalog(encodeCatalog(withHomes))).toEqual(withHomes);
  const cold: TargetRecord = { ...target, coldLeftMs: 1_500 };
  expect(tryDecodeTarget({
    key: asId("servers/t1"),
    version: 1,
    value: encodeTarget(cold),
  })).toEqual(cold);
});
