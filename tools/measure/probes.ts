/**
 * Probe workspaces, one for each database group. Their steady writes measure
 * the service gaps of all groups with the same resolution.
 */

import { rankNodes } from "../../src/core/hash.ts";
import { asId, type PlanId, type WorkspaceId } from "../../src/core/ids.ts";
import type { TraceLine } from "../../src/generated/trace.ts";
import { buildGroups, type Deployment } from "../workloads.ts";

const PROBE_PLAN = asId<PlanId>("plan-probe");
const PROBE_RATE_PER_SECOND = 100;
const SESSIONS_PER_PROBE = 3;
const WRITE_INTERVAL_MS = 200;

/** Adds a probe workspace for each group of a deployment. */
export function addProbes(deployment: Deployment): Deployment {
  const probes = listProbes(deployment).map((workspace) => ({
    workspace,
    plan: PROBE_PLAN,
    ratePerSecond: PROBE_RATE_PER_SECOND,
    burst: PROBE_RATE_PER_SECOND * 2,
  }));
  return { ...deployment, workspaces: [...deployment.workspaces, ...probes] };
}

/** Lists, for each group in order, the first probe workspace stored in it. */
function listProbes(deployment: Deployment): WorkspaceId[] {
  const groups = buildGroups(deployment, () => "").map((g) => g.group);
  return groups.map((group) => {
    for (let number = 1;; number++) {
      const workspace = asId<WorkspaceId>(`probe-${number}`);
      if (rankNodes(workspace, groups)[0] === group) {
        return workspace;
      }
    }
  });
}

/** Generates the steady writes of the probe workspaces. */
export function generateProbeWrites(
  deployment: Deployment,
  options: { readonly durationMs: number },
): TraceLine[] {
  const kind = deployment.requestKinds.find((k) => k.unrepeatable)!;
  const count = Math.floor(options.durationMs / WRITE_INTERVAL_MS);
  return listProbes(deployment).flatMap((workspace) =>
    Array.from(
      { length: count * SESSIONS_PER_PROBE },
      (_, index): TraceLine => {
        const session = `${workspace}-${index % SESSIONS_PER_PROBE}`;
        return {
          atMs: Math.floor(index * WRITE_INTERVAL_MS / SESSIONS_PER_PROBE),
          workspace,
          session,
          service: deployment.service,
          class: kind.class,
          access: "write",
          unrepeatable: true,
          body: kind.body(session, 1),
        };
      },
    )
  );
}
