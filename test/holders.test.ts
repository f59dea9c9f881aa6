/** Pattern: more hosts than a target admits connections. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { asId } from "../src/core/ids.ts";
import type { PeerInfo } from "../src/core/types.ts";
import { createHolders, type Holders } from "../src/pooling/holders.ts";
import type { TargetRecord } from "../src/pooling/types.ts";

const TARGET = {
  id: asId("t1"),
  service: asId("ledger"),
  domain: asId("d0"),
} as unknown as TargetRecord;

function createHosts(count: number, domains: number): readonly PeerInfo[] {
  return Array.from({ length: count }, (_, n) => ({
    host: asId<PeerInfo["host"]>(`h${n}`),
    domain: asId<PeerInfo["domain"]>(`d${n % domains}`),
  }));
}

function createViews(options: {
  readonly hosts: readonly PeerInfo[];
  readonly workspaces: number;
  readonly maxConnections: number;
}): Holders[] {
  return options.hosts.map(({ host, domain }) =>
    createHolders({
      self: host,
      topology: { domain, regions: new Map() },
      listHosts: () => options.hosts,
      countConnectedHosts: () => options.hosts.length,
      countWorkspaces: () => options.workspaces,
      getMaxConnections: () => options.maxConnections,
    })
  );
}

const FLEET = { hosts: createHosts(195, 6), maxConnections: 180 };

test("195 hosts keep a few holders in the failure domain of the target", () => {
  const [view] = createViews({ ...FLEET, workspaces: 140 });
  const ranked = view!.list(TARGET, asId("w1"));
  const domains = ranked.map((host) =>
    FLEET.hosts.find((peer) => peer.host === host)?.domain
  );
  expect(new Set(domains)).toEqual(new Set(["d0"]));
  expect(ranked.length).toBeLessThanOrEqual(5);
});

test("all hosts agree on the holders of a workspace", () => {
  const views = createViews({ ...FLEET, workspaces: 140 });
  const lists = views.map((view) => view.list(TARGET, asId("w7")).join());
  expect(new Set(lists).size).toBe(1);
});

test("workspaces are spread over all holders", () => {
  const [view] = createViews({ ...FLEET, workspaces: 140 });
  const first = Array.from(
    { length: 140 },
    (_, n) => view!.list(TARGET, asId(`w${n}`))[0],
  );
  expect(new Set(first).size).toBe(3);
});

test("a host is used directly where it can keep a connection a workspace", () => {
  const hosts = createHosts(3, 1);
  const [view] = createViews({ hosts, workspaces: 5, maxConnections: 20 });
  expect(view!.list(TARGET, asId("w1"))).toEqual(["h0"]);
  expect(view!.getAllowance(TARGET).cap).toBe(6);
});

test("hosts near the target hold its connections if its domain has none", () => {
  const hosts = createHosts(9, 3).filter(({ domain }) => domain !== "d0");
  const [view] = createViews({ hosts, workspaces: 100, maxConnections: 20 });
  expect(view!.list(TARGET, asId("w1")).length).toBeGreaterThanOrEqual(3);
});

// Connections that stay open while idle; hosts that are not holders keep none.
test("what the holders may keep open never exceeds the limit", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 200 }),
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 3, max: 300 }),
      fc.integer({ min: 1, max: 200 }),
      (count, domains, maxConnections, workspaces) => {
        const hosts = createHosts(count, domains);
        const views = createViews({ hosts, workspaces, maxConnections });
        const allowances = views.map((view) => view.getAllowance(TARGET))
          .filter(({ idleCap }) => idleCap > 0);
        const total = allowances.reduce((sum, { cap }) => sum + cap, 0);
        expect(total).toBeLessThanOrEqual(maxConnections);
      },
    ),
    { seed: 20_261_204, numRuns: 200 },
  );
});

test("a membership change moves only the workspaces of the lost holder", () => {
  const hosts = createHosts(30, 1);
  const before = createViews({ hosts, workspaces: 99, maxConnections: 60 })[0]!;
  const lost = before.list(TARGET, asId("w0"))[0];
  const others = hosts.filter(({ host }) => host !== lost);
  const after = createViews({
    hosts: others,
    workspaces: 99,
    maxConnections: 60,
  })[0]!;
  const workspaces = Array.from({ length: 99 }, (_, n) => asId(`w${n}`));
  const kept = workspaces.filter((id) =>
    before.list(TARGET, id as never)[0] !== lost
  );
  const moved = kept.filter((id) =>
    before.list(TARGET, id as never)[0] !== after.list(TARGET, id as never)[0]
  );
  // The new holder takes its even share of all workspaces.
  expect(moved.length).toBeLessThan(kept.length * 0.6);
});
