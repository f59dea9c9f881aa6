/** The simpler policies that the chosen ones are measured against. */

import { createStaticLimits } from "../../src/core/limits.ts";
import type { OrderReplicas } from "../../src/core/read.ts";
import { createFifoQueue } from "../../src/core/queue.ts";

/** Gives each host an equal, fixed share of every workspace's rate. */
export const createStaticShareLimits = createStaticLimits;

/** Serves the requests of all workspaces first in, first out. */
export const createFifo = createFifoQueue;

/** Goes through the replicas in turn, whatever their lag or load. */
export function createRoundRobin(): OrderReplicas {
  let turn = 0;
  return (replicas) => {
    const start = replicas.length ? turn++ % replicas.length : 0;
    return [...replicas.slice(start), ...replicas.slice(0, start)];
  };
}
