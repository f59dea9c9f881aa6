/** Extends a deployment by the workspaces of a recorded trace. */

import { Err, Ok, type Result } from "ts-results-es";
import { asId, type PlanId } from "../src/core/ids.ts";
import type { TraceLine } from "../src/generated/trace.ts";
import { groupBy } from "./measure/group_by.ts";
import {
  type Deployment,
  LAKAZ,
  MADHUVAN,
  type WorkspaceSize,
} from "./workloads.ts";

const MS_PER_SECOND = 1_000;
/** Rate given to a workspace without a plan, as a multiple of its mean rate. */
const RATE_HEADROOM = 2;
/** Burst given to a workspace without a plan, in seconds of its rate. */
const BURST_S = 2;

/**
 * Returns the deployment of the trace's service, with a plan for every
 * workspace of the trace; an error unless the trace has exactly one service.
 */
export function fitDeployment(
  trace: readonly TraceLine[],
): Result<Deployment, string> {
  const services = [...new Set(trace.map((line) => line.service))];
  const [service] = services;
  if (!service || services.length > 1) {
    return Err(`the trace has ${services.length} services, expected 1`);
  }
  const base = service === MADHUVAN.service ? MADHUVAN : LAKAZ;
  const withPlan = new Set(base.workspaces.map((size) => size.workspace));
  const lines = groupBy(trace, (line) => line.workspace);
  const added = [...lines]
    .filter(([workspace]) => !withPlan.has(workspace))
    .map(([workspace, workspaceLines]): WorkspaceSize => {
      const seconds = Math.max(1, (trace.at(-1)?.atMs ?? 0) / MS_PER_SECOND);
      const ratePerSecond = Math.ceil(
        workspaceLines.length / seconds * RATE_HEADROOM,
      );
      return {
        workspace,
        plan: asId<PlanId>(`fitted-${ratePerSecond}`),
        ratePerSecond,
        burst: ratePerSecond * BURST_S,
      };
    });
  return Ok({
    ...base,
    service,
    workspaces: [...base.workspaces, ...added],
  });
}
