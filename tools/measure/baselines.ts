/** The simpler policies that the chosen ones are measured against. */

import type { OrderReplicas } from "../../src/core/read.ts";

export {
  createFifoQueue,
  createStaticLimits,
} from "../experiments/baselines.ts";

/** Goes through the replicas in turn, whatever their lag or load. */
export function createRoundRobin(): OrderReplicas {
  let nextIndex = 0;
  return (replicas) => {
    const start = replicas.length ? nextIndex++ % replicas.length : 0;
    return [...replicas.slice(start), ...replicas.slice(0, start)];
  };
}
