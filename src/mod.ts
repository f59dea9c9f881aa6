/** Public API: the host, its components and its external interfaces. */

// The complete host.
export { createHost, type Host, type HostPolicies } from "./core/host.ts";
export { runHost, type RunningHost } from "./daemon/run_host.ts";
export { checkSettings, loadSettings } from "./host/settings.ts";
export type { Settings } from "./generated/settings.ts";

// Coordination components, each usable on its own.
export {
  type Configuration,
  createConfiguration,
} from "./core/configuration.ts";
export { createConfirmer } from "./core/confirm.ts";
export { createFreshness } from "./core/freshness.ts";
export { createLimits, type Limits } from "./core/limits.ts";
export { createMembership, type Membership } from "./core/membership.ts";
export { createMonitor, type Monitor } from "./core/monitor.ts";
export { createPeers } from "./core/peers.ts";
export { createPool } from "./core/pool.ts";
export { createFairQueue, type Queue } from "./core/queue.ts";
export { comparePositions, tryMajorityFloor } from "./core/position.ts";
export { rankNodes } from "./core/hash.ts";

// Lists and keys that operators edit.
export {
  applyList,
  issueWorkspaceKey,
  listKeys,
  type Lists,
  markLeaving,
  readLists,
  rotateKey,
  validateLists,
  withdrawKey,
} from "./core/lists.ts";

// External interfaces and their implementations.
export { createCallerServer } from "./host/caller_server.ts";
export { createLog } from "./host/log.ts";
export { createMetrics } from "./host/metrics.ts";
export { createOperatorsServer } from "./host/operators_server.ts";
export { createPeerLinks } from "./host/peer_links.ts";
export { createObjectStore } from "../platform/object_store.ts";
export { createTargetDriver } from "./host/target_driver.ts";

// Shared types.
export { ERROR_ANSWERS, type ErrorKind } from "./core/errors.ts";
export { asId } from "./core/ids.ts";
export type { CallerSession, Entry, RequestFrame } from "./core/entry.ts";
export type * from "./core/types.ts";
export type * from "./core/ids.ts";
