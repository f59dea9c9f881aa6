/** Draws what the callers of a run send, and when. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import type { TraceLine } from "../../src/generated/trace.ts";
import type { CheckedBody } from "../check/history.ts";
import { type Deployment, drawTrace } from "../workloads.ts";

/** Share of the plans' rates that callers use in ordinary times. */
const BASE_LOAD = 0.6;
/** How many times its rate the flooding workspace sends. */
const FLOOD_FACTOR = 4;
const FLOOD_SESSIONS = 40;
/** When the flood begins and ends, as shares of the run. */
const FLOOD_BEGIN_FRACTION = 0.5;
const FLOOD_END_FRACTION = 0.8;
const MS_PER_SECOND = 1_000;

/** Draws what the workspaces of a deployment send. */
export function drawLoad(
  deployment: Deployment,
  options: { readonly seed: number; readonly durationMs: number },
): TraceLine[] {
  const baseLoad = drawTrace(deployment, { ...options, load: BASE_LOAD });
  const flood = drawFlood(deployment, options);
  return [...baseLoad, ...flood];
}

/** The workspace that floods. */
export function getFlooder(deployment: Deployment): string {
  return deployment.workspaces[0]!.workspace;
}

/** One large workspace sends several times its rate for a while. */
function drawFlood(
  deployment: Deployment,
  options: { readonly seed: number; readonly durationMs: number },
): TraceLine[] {
  const flooder = deployment.workspaces[0]!;
  const generator = mersenne(options.seed + 1);
  const draw = (limit: number) => uniformInt(generator, 0, limit - 1);
  const beginMs = options.durationMs * FLOOD_BEGIN_FRACTION;
  const lengthMs = Math.floor(
    options.durationMs * (FLOOD_END_FRACTION - FLOOD_BEGIN_FRACTION),
  );
  const perSecond = flooder.ratePerSecond * FLOOD_FACTOR;
  const count = Math.round(perSecond * lengthMs / MS_PER_SECOND);
  const kind = deployment.requestKinds.find((k) => k.access === "read")!;
  return Array.from({ length: count }, () => {
    const session = `${flooder.workspace}-flood-${draw(FLOOD_SESSIONS)}`;
    return {
      atMs: beginMs + draw(lengthMs),
      workspace: flooder.workspace,
      session,
      service: deployment.service,
      class: kind.class,
      access: kind.access,
      body: kind.body(session, 0),
    };
  });
}

/** Gives every change a value of its own, so that a run shows its request. */
export function assignUniqueValues(lines: readonly TraceLine[]): TraceLine[] {
  return lines.toSorted((a, b) => a.atMs - b.atMs).map((line, index) => {
    const body = line.body as CheckedBody;
    switch (body.op) {
      case "get":
        return line;
      case "put":
        return { ...line, body: { ...body, value: `v${index + 1}` } };
      case "add": {
        const amount = Math.sign(body.amount) * (index + 1);
        return { ...line, body: { ...body, amount } };
      }
    }
  });
}
