/** Figures that the platform promises or demands, as hosts are judged by. */

/** Time between SIGTERM and SIGKILL. */
export const GRACE_S = 6;
/** Time after the last byte of a statement in which its connection may end. */
export const LOSS_SLACK_MS = 200;
/** Time without disruption after which a loss counts. */
export const STABLE_MS = 5_000;
/** Time after the grace until which losses are put down to a stop. */
export const STOP_TAIL_MS = 1_000;
/** Time after SIGTERM up to which a statement may be lost at a slow target. */
export const LATE_SEND_MS = 3_000;
/** Last part of the grace in which a target may still be at work. */
export const LATE_WORK_FRACTION = 5 / 6;
/** Time after SIGHUP in which statements that are cut off count. */
export const CONFIG_MS = 4_000;
/** Window and tolerance of quotas. */
export const QUOTA = { windowS: 5, part: 0.1, operations: 20 } as const;
/** Statement timeout of the routes. */
export const STATEMENT_TIMEOUT_MS = 3_000;
/** Staleness that routes with bounded staleness accept. */
export const MAX_STALE_MS = 1_500;
/** Interval of the registrations of targets. */
export const HEARTBEAT_MS = 1_200;
/** Silent intervals after which a registration lapses. */
export const LAPSE_INTERVALS = 3;

/** Error codes that promise that nothing of the operation is kept. */
export const PROMISES: ReadonlySet<string> = new Set([
  "BUSY",
  "ABORTED",
  "LAGGING",
  "READONLY",
  "WRONGNODE",
  "MAXCONN",
]);
