import * as fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { rankNodes } from "../src/core/hash.ts";
import {
  asId,
  type DomainId,
  type GroupId,
  type HostId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { createPlacement } from "../src/core/placement.ts";
import { listPoolHosts } from "../src/core/route.ts";
import { startTestFleet } from "./fleet.ts";
import { getTestGroup } from "./group.ts";

const GROUPS = Array.from({ length: 8 }, (_, n) => asId<GroupId>(`group-${n}`));
const WORKSPACES = GROUPS.map((group) => asId<WorkspaceId>(`of-${group}`));
const DOMAINS = 3;
const HOSTS_PER_GROUP = 3;
const OWNERS_PER_WORKSPACE = 4;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createPeer(n: number) {
  return {
    host: asId<HostId>(`h${n}`),
    domain: asId<DomainId>(`d${n % DOMAINS}`),
  };
}

test("a placement follows every change of membership", () => {
  const memberships = fc.array(
    fc.uniqueArray(fc.nat(15), { minLength: 1, maxLength: 12 }),
    { minLength: 1, maxLength: 8 },
  );
  fc.assert(
    fc.property(memberships, (steps) => {
      let alive = [createPeer(0)];
      const placement = createPlacement({
        listHosts: () => alive,
        hostsPerGroup: HOSTS_PER_GROUP,
      });
      for (const step of steps) {
        alive = step.map(createPeer);
        vi.advanceTimersByTime(100);
        expect(GROUPS.map((group) => placement.listPoolHosts(group))).toEqual(
          GROUPS.map((group) =>
            listPoolHosts(group, { alive, count: HOSTS_PER_GROUP })
          ),
        );
        const hosts = alive.map((peer) => peer.host);
        expect(WORKSPACES.map((name) => placement.listOwners(name)))
          .toEqual(
            WORKSPACES.map((name) =>
              rankNodes(name, hosts).slice(0, OWNERS_PER_WORKSPACE)
            ),
          );
      }
    }),
    { seed: 1, numRuns: 200 },
  );
});

test("a placement is not recomputed for a change that does not affect it", () => {
  let alive = Array.from({ length: 12 }, (_, n) => createPeer(n));
  const placement = createPlacement({
    listHosts: () => alive,
    hostsPerGroup: HOSTS_PER_GROUP,
  });
  const before = GROUPS.map((group) => placement.listPoolHosts(group));
  const removedHost = alive[0]!.host;
  alive = alive.slice(1);
  vi.advanceTimersByTime(100);
  const after = GROUPS.map((group) => placement.listPoolHosts(group));
  expect(after.map((hosts, n) => hosts === before[n]))
    .toEqual(before.map((hosts) => !hosts.includes(removedHost)));
});

test("a host closes the pools that others have taken over", async () => {
  const fleet = await startTestFleet({ hosts: 4 });
  const group = getTestGroup(fleet);
  const killedHost = group.poolHosts[2]!;
  const spareHost = fleet.hosts.find(({ id }) =>
    !group.poolHosts.includes(id)
  )!;
  const listGroups = () =>
    spareHost.host.listGroupViews().map((view) => view.group);
  fleet.kill(killedHost);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(listGroups()).toContain(group.info.group);
  fleet.restart(killedHost);
  await vi.advanceTimersByTimeAsync(40_000);
  expect(listGroups()).not.toContain(group.info.group);
  fleet.stop();
});
