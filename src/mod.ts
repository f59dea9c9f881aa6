/** The library: a host, its parts, and the interfaces to the outside. */

export { createHost, type Host } from "./core/host.ts";
export { createConfiguration } from "./core/configuration.ts";
export { createMembership } from "./core/membership.ts";
export { createLimits } from "./core/limits.ts";
export { createFairQueue } from "./core/queue.ts";
export { createMonitor } from "./core/monitor.ts";
export { createConfirmer } from "./core/confirm.ts";
export { createPool } from "./core/pool.ts";
export { ERROR_ANSWERS, type ErrorKind } from "./core/errors.ts";
export type * from "./core/types.ts";
export type * from "./core/ids.ts";
export type { Settings } from "./generated/settings.ts";
