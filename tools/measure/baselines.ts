/** Simpler policies that serve as baselines. */

import type { OrderReplicas } from "../../src/core/read.ts";

export {
  createFifoQueue,
  createStaticLimits,
} from "../experiments/baselines.ts";

/** Orders replicas round-robin, regardless of their lag and load. */
export function createRoundRobin(): OrderReplicas {
  let nextIndex = 0;
  return (replicas) => {
    const start = replicas.length ? nextIndex++ % replicas.length : 0;
    return [...replicas.slice(start), ...replicas.slice(0, start)];
  };
}
