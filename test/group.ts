/** Access to the target group that stores a test fleet's first workspace. */

import type { RequestFrame } from "../src/core/entry.ts";
import { rankNodes } from "../src/core/hash.ts";
import {
  asId,
  type HostId,
  type ReqId,
  type TargetId,
} from "../src/core/ids.ts";
import { listPoolHosts } from "../src/core/route.ts";
import type { GroupInfo } from "../src/core/types.ts";
import type { TargetNode } from "../standins/target_node.ts";
import { LAKAZ } from "../tools/workloads.ts";
import type { TestFleet } from "./fleet.ts";

/** Target group with its nodes and pool hosts. */
export interface TestGroup {
  readonly info: GroupInfo;
  readonly targets: readonly TargetNode[];
  /** Pool hosts of the group, in order of preference. */
  readonly poolHosts: readonly HostId[];
  /** Returns the highest term of any target. */
  getTerm(): number;
  /** Returns the primary of the highest term. */
  getPrimary(): TargetNode;
  /** Counts the log entries of the primary that change a row. */
  countEntries(key: string): number;
}

/** Returns the group that stores the rows of the fleet's first workspace. */
export function getTestGroup(fleet: TestFleet): TestGroup {
  const workspace = fleet.deployment.workspaces[0]!.workspace;
  const groupIds = fleet.groups.map((group) => group.group);
  const groupId = rankNodes(workspace, groupIds)[0];
  const info = fleet.groups.find((group) => group.group === groupId)!;
  const targets = info.targets.map(({ target }) => fleet.getTarget(target));
  const getTerm = () =>
    Math.max(...targets.map((target) => target.core.status().term));
  const getPrimary = () =>
    targets.find(({ core }) =>
      core.status().role === "primary" && core.status().term === getTerm()
    )!;
  return {
    info,
    targets,
    poolHosts: listPoolHosts(info.group, {
      alive: fleet.hosts[0]!.host.membership.listAlive(),
      count: 3,
    }),
    getTerm,
    getPrimary,
    countEntries: (key) =>
      getPrimary().core.log
        .filter((entry) => entry.changes.some((c) => c.key === key)).length,
  };
}

/** Returns the id of a target. */
export function getTargetId(target: TargetNode): TargetId {
  return target.core.status().target;
}

let nextId = 1;

/** Creates a frame of a kind other than read and write. */
export function createFrame(
  frame:
    | { readonly kind: "begin" }
    | { readonly kind: "end"; readonly tx: string; readonly end: string }
    | { readonly kind: "outcome"; readonly of: string },
  id = `g${nextId++}`,
): RequestFrame {
  const common = { id: asId<ReqId>(id), service: LAKAZ.service };
  return { ...frame, ...common } as RequestFrame;
}
