/** Generates the load of a run from a seed. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import type { TraceLine } from "../../src/generated/trace.ts";
import type { CheckedBody } from "../check/history.ts";
import { type Deployment, generateTrace } from "../workloads.ts";

/** Fraction of the plans' rates that the base load uses. */
const BASE_LOAD = 0.6;
/** Rate of the flood as a multiple of the workspace's plan rate. */
const FLOOD_FACTOR = 4;
const FLOOD_SESSIONS = 40;
/** Begin and end of the flood as fractions of the run. */
const FLOOD_BEGIN_FRACTION = 0.5;
const FLOOD_END_FRACTION = 0.8;
const MS_PER_SECOND = 1_000;

/** Generates the base load of all workspaces and the flood of one. */
export function generateLoad(
  deployment: Deployment,
  options: { readonly seed: number; readonly durationMs: number },
): TraceLine[] {
  const baseLoad = generateTrace(deployment, { ...options, load: BASE_LOAD });
  const flood = generateFlood(deployment, options);
  return [...baseLoad, ...flood];
}

/** Returns the workspace that sends the flood. */
export function getFlooder(deployment: Deployment): string {
  return deployment.workspaces[0]!.workspace;
}

/** Generates reads of one large workspace at several times its rate. */
function generateFlood(
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

/** Gives every change a unique value, which identifies its request in a log. */
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
