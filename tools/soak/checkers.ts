/** Checks a history against the rules of the platform. */

import { isAtLeast, maxPosition, ORIGIN } from "../../src/core/position.ts";
import type { Position } from "../../src/pooling/types.ts";
import type { StatementRun } from "../../standins/statement_group.ts";
import {
  CONFIG_MS,
  GRACE_S,
  LATE_SEND_MS,
  LATE_WORK_FRACTION,
  LOSS_SLACK_MS,
  MAX_STALE_MS,
  PROMISES,
  QUOTA,
  STABLE_MS,
  STATEMENT_TIMEOUT_MS,
  STOP_TAIL_MS,
} from "./bounds.ts";
import {
  type ClientStatement,
  getStalledMs,
  type GroupHistory,
  isSuccess,
  type SoakHistory,
  type Stop,
  tryGetErrorCode,
} from "./history.ts";

const MS_PER_SECOND = 1_000;
const GRACE_MS = GRACE_S * MS_PER_SECOND;

/** Names of the rules. */
export const RULES = [
  "LOST",
  "TWICE",
  "REFUSED",
  "STALE",
  "UNASKED",
  "PINNED",
  "MIXED",
  "QUOTA",
  "ONE",
  "GRACE",
] as const;

/** Name of a rule. */
export type Rule = typeof RULES[number];

/** Broken rule. */
export interface Violation {
  readonly rule: Rule;
  /** Statement, host or workspace that it concerns. */
  readonly subject: string;
  readonly at: number;
  readonly detail: string;
}

/** Returns all violations of a history, in the order of time. */
export function checkSoak(history: SoakHistory): readonly Violation[] {
  return [
    checkLostAnswers,
    checkLostCommits,
    checkTwice,
    checkRefused,
    checkStale,
    checkUnasked,
    checkPinned,
    checkMixed,
    checkQuota,
    checkOne,
    checkGrace,
  ].flatMap((check) => check(history)).sort((a, b) => a.at - b.at);
}

function getStatements(
  history: SoakHistory,
): ReadonlyMap<string, ClientStatement> {
  return new Map(history.statements.map((entry) => [entry.id, entry]));
}

/** Statements that a stop or a reload of their host left without an answer. */
export function checkLostAnswers(history: SoakHistory): Violation[] {
  const groups = new Map(history.groups.map((group) => [group.service, group]));
  return history.statements.flatMap((entry) => {
    if (entry.isComplete || entry.isAbandoned || isDisrupted(history, entry)) {
      return [];
    }
    const { begun = new Map<string, number>(), runs = [] } =
      groups.get(entry.service) ?? {};
    const isForwarded = begun.has(entry.id);
    const elapsedMs = entry.endedAt - entry.sentAt;
    const slackMs = LOSS_SLACK_MS +
      getStalledMs(history.stalls, {
        host: entry.host,
        from: entry.sentAt,
        to: entry.endedAt,
      });
    const isLate = !entry.readsSlowly && elapsedMs > slackMs;
    if (
      !isForwarded && !isLate || elapsedMs >= STATEMENT_TIMEOUT_MS ||
      !isInPlannedWork(history, entry)
    ) {
      return [];
    }
    const run = runs.find(({ id }) => id === entry.id);
    const isAtWorkLate = (stop: Stop) =>
      stop.host === entry.host && isForwarded &&
      entry.sentAt <= stop.at + LATE_SEND_MS &&
      (run?.at ?? Infinity) >= stop.at + LATE_WORK_FRACTION * GRACE_MS;
    if (history.stops.some(isAtWorkLate)) {
      return [];
    }
    return [{
      rule: "LOST",
      subject: entry.id,
      at: entry.endedAt,
      detail: `${entry.kind} at ${entry.host}: connection ended ` +
        `${Math.round(elapsedMs)} ms after it was sent, ` +
        `${isForwarded ? "passed on to a target" : "not passed on"}, ` +
        `received ${JSON.stringify(entry.lines.map((l) => l.slice(0, 60)))}`,
    }];
  });
}

function isDisrupted(history: SoakHistory, entry: ClientStatement): boolean {
  return history.disruptions.some(({ from, to }) =>
    from <= entry.endedAt && to >= entry.sentAt - STABLE_MS
  );
}

function isInPlannedWork(
  history: SoakHistory,
  { host, sentAt, endedAt }: ClientStatement,
): boolean {
  return history.stops.some((stop) =>
    stop.host === host && endedAt >= stop.at &&
    endedAt <= stop.at + GRACE_MS + STOP_TAIL_MS
  ) || history.reloads.some((reload) =>
    reload.host === host && endedAt >= reload.at && sentAt >= reload.at &&
    sentAt <= reload.at + CONFIG_MS
  );
}

/** Acknowledged commits that the group's log lacks. */
export function checkLostCommits(history: SoakHistory): Violation[] {
  return history.groups.flatMap((group) => {
    const kept = new Set(group.log.flatMap(({ ids }) => ids));
    return listAcknowledgedWrites(history, group)
      .filter(({ write }) => !kept.has(write.id))
      .map(({ write, ackedAt }): Violation => ({
        rule: "LOST",
        subject: write.id,
        at: ackedAt,
        detail: `acknowledged commit is not in the log of ${group.service}`,
      }));
  });
}

interface AcknowledgedWrite {
  readonly write: ClientStatement;
  readonly ackedAt: number;
}

/** Lists the writes that were acknowledged as committed, by time. */
function listAcknowledgedWrites(
  history: SoakHistory,
  group: GroupHistory,
): readonly AcknowledgedWrite[] {
  const commits = new Map(
    history.statements
      .filter((entry) => entry.kind === "commit" && isSuccess(entry))
      .map((entry) => [entry.operation, entry]),
  );
  return history.statements
    .filter((entry) =>
      entry.kind === "write" && entry.service === group.service &&
      isSuccess(entry)
    )
    .flatMap((write) => {
      const last = write.isInTransaction ? commits.get(write.operation) : write;
      return last ? [{ write, ackedAt: last.endedAt }] : [];
    })
    .sort((a, b) => a.ackedAt - b.ackedAt);
}

/** Writes that took effect more than once. */
export function checkTwice(history: SoakHistory): Violation[] {
  const byId = getStatements(history);
  return history.groups.flatMap(({ log }) => {
    const seen = new Set<string>();
    return log.flatMap(({ ids }) => ids).filter((id) => {
      const isRepeated = seen.has(id);
      seen.add(id);
      return isRepeated;
    }).map((id): Violation => ({
      rule: "TWICE",
      subject: id,
      at: byId.get(id)?.endedAt ?? 0,
      detail: "write is in the log more than once",
    }));
  });
}

/** Committed writes of operations that were told that nothing is kept. */
export function checkRefused(history: SoakHistory): Violation[] {
  const promised = new Map(
    history.statements
      .filter((entry) => PROMISES.has(tryGetErrorCode(entry) ?? ""))
      .map((entry) => [entry.operation, entry]),
  );
  const committed = new Set(
    history.groups.flatMap(({ log }) => log.flatMap(({ ids }) => ids)),
  );
  return history.statements.flatMap((entry) => {
    const promise = promised.get(entry.operation);
    return promise && committed.has(entry.id)
      ? [{
        rule: "REFUSED" as const,
        subject: entry.id,
        at: promise.endedAt,
        detail: `committed, though ${promise.id} was answered ` +
          `${tryGetErrorCode(promise)}`,
      }]
      : [];
  });
}

/** Reads that lack a commit that they had to see. */
export function checkStale(history: SoakHistory): Violation[] {
  const byId = getStatements(history);
  const beginTimes = new Map(
    history.statements.filter(({ kind }) => kind === "begin")
      .map((entry) => [entry.operation, entry.sentAt]),
  );
  return history.groups.flatMap((group) => {
    const positions = new Map(
      group.log.flatMap(({ ids, position }) =>
        ids.map((id) => [id, position] as const)
      ),
    );
    const acked = listAcknowledgedWrites(history, group).flatMap((entry) => {
      const position = positions.get(entry.write.id);
      return position ? [{ ...entry, position }] : [];
    });
    const getFloor = createFloor(acked);
    const bySession = new Map<string, typeof acked>();
    for (const entry of acked) {
      const { session } = entry.write;
      bySession.set(session, [...bySession.get(session) ?? [], entry]);
    }
    const floorBySession = new Map(
      [...bySession].map(([session, writes]) => [session, createFloor(writes)]),
    );
    return group.runs.flatMap((run): Violation[] => {
      const read = byId.get(run.id);
      if (read?.kind !== "read") {
        return [];
      }
      const startedAt = beginTimes.get(read.operation) ?? read.sentAt;
      const staleMs = read.route === "primary" ? 0 : MAX_STALE_MS;
      const general = getFloor(startedAt - staleMs);
      const own = read.route === "session"
        ? floorBySession.get(read.session)?.(startedAt) ?? ORIGIN
        : ORIGIN;
      const floor = maxPosition(general, own);
      return isAtLeast(run.position, floor) ? [] : [{
        rule: "STALE",
        subject: run.id,
        at: run.at,
        detail: `${read.route} read at ${run.target} saw ` +
          `${format(run.position)}, ${format(floor)} was acknowledged before`,
      }];
    });
  });
}

/** Returns the highest position that was acknowledged before a time. */
function createFloor(
  writes: readonly { readonly ackedAt: number; readonly position: Position }[],
): (before: number) => Position {
  let highest = ORIGIN;
  const floors = writes.map(({ position }) => {
    highest = maxPosition(highest, position);
    return highest;
  });
  return (before) => {
    let low = 0;
    let high = writes.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (writes[middle]!.ackedAt < before) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return floors[low - 1] ?? ORIGIN;
  };
}

function format({ term, pos }: Position): string {
  return `${term}.${pos}`;
}

/** Runs and commits that no client asked for. */
export function checkUnasked(history: SoakHistory): Violation[] {
  const byId = getStatements(history);
  const commits = new Set(
    history.statements.filter(({ kind }) => kind === "commit")
      .map(({ operation }) => operation),
  );
  return history.groups.flatMap((group) => [
    ...group.runs.flatMap((run): Violation[] => {
      const entry = byId.get(run.id);
      const detail = !entry
        ? "no client sent it"
        : entry.text !== run.text && !isOtherShape(entry, run)
        ? `ran as ${JSON.stringify(run.text.slice(0, 60))}`
        : entry.workspace !== run.workspace
        ? `ran for workspace ${run.workspace}`
        : entry.service !== group.service
        ? `ran at a target of ${group.service}`
        : undefined;
      return detail
        ? [{ rule: "UNASKED", subject: run.id, at: run.at, detail }]
        : [];
    }),
    ...group.log.flatMap(({ ids }) => ids).flatMap((id): Violation[] => {
      const entry = byId.get(id);
      return entry && entry.isInTransaction && !commits.has(entry.operation)
        ? [{
          rule: "UNASKED",
          subject: id,
          at: entry.endedAt,
          detail: "committed, though its client sent no COMMIT",
        }]
        : [];
    }),
  ]);
}

/** Whether only the shape of a prepared statement differs. */
function isOtherShape(entry: ClientStatement, run: StatementRun): boolean {
  const getArgs = (text: string) => text.slice(text.indexOf(" ") + 1);
  return isShape(entry.text) && isShape(run.text) &&
    getArgs(entry.text) === getArgs(run.text);
}

function isShape(text: string): boolean {
  return !/^(READ|WRITE|COMMIT)\b/.test(text);
}

/** Runs with the wrong variables, shape or connection. */
export function checkPinned(history: SoakHistory): Violation[] {
  const byId = getStatements(history);
  return history.groups.flatMap(({ runs }) => {
    const lastRuns = new Map(
      runs.map((run) => [byId.get(run.id)?.operation, run]),
    );
    const open = new Map<string, string>();
    const connections = new Map<string, string>();
    return runs.flatMap((run): Violation[] => {
      const entry = byId.get(run.id);
      if (!entry) {
        return [];
      }
      const connection = `${run.target} ${run.connection}`;
      const owner = open.get(connection);
      const pinned = connections.get(entry.operation);
      let detail: string | undefined;
      if (entry.text !== run.text && isOtherShape(entry, run)) {
        detail = `ran the shape of ${JSON.stringify(run.text.slice(0, 60))}`;
      } else if (!hasVariables(run, entry.variables)) {
        detail = `ran with ${JSON.stringify(run.variables)} instead of ` +
          JSON.stringify(entry.variables);
      } else if (entry.isInTransaction && !run.isInTransaction) {
        // A single read may run in a transaction of the host's own.
        detail = "ran outside its transaction";
      } else if (entry.isInTransaction && pinned && pinned !== connection) {
        detail = `ran on connection ${connection}, its transaction on ` +
          pinned;
      } else if (owner !== undefined && owner !== entry.operation) {
        detail = `ran inside the transaction of ${owner}`;
      }
      if (entry.isInTransaction) {
        connections.set(entry.operation, connection);
        const isLast = entry.kind === "commit" ||
          run === lastRuns.get(entry.operation);
        if (isLast) {
          open.delete(connection);
        } else {
          open.set(connection, entry.operation);
        }
      }
      return detail
        ? [{ rule: "PINNED", subject: run.id, at: run.at, detail }]
        : [];
    });
  });
}

function hasVariables(
  run: StatementRun,
  expected: Readonly<Record<string, string>>,
): boolean {
  const names = new Set([
    ...Object.keys(run.variables),
    ...Object.keys(expected),
  ]);
  return [...names].every((name) => run.variables[name] === expected[name]);
}

/** Successes without the signature or the rows of a target. */
export function checkMixed(history: SoakHistory): Violation[] {
  return history.statements.flatMap((entry) => {
    const isForwarded = entry.kind === "read" || entry.kind === "write" ||
      entry.kind === "commit";
    if (!isForwarded || !isSuccess(entry)) {
      return [];
    }
    const rows = entry.kind === "commit" ? [] : [`ROW row of ${entry.text}`];
    const expected = [...rows, `DONE signed-${entry.id}`].join("\n");
    const received = entry.lines.slice(0, -1).join("\n");
    return received === expected ? [] : [{
      rule: "MIXED" as const,
      subject: entry.id,
      at: entry.endedAt,
      detail: `received ${JSON.stringify(received.slice(0, 120))}`,
    }];
  });
}

/** Workspaces that ran more operations than their quota allows. */
export function checkQuota(history: SoakHistory): Violation[] {
  const windowMs = QUOTA.windowS * MS_PER_SECOND;
  return history.quotas.flatMap(({ workspace, ratePerS, burst }) => {
    const limit = (ratePerS * QUOTA.windowS + burst) * (1 + QUOTA.part) +
      QUOTA.operations;
    const arrivals = listArrivals(history, workspace);
    for (let first = 0, last = 0; last < arrivals.length; last++) {
      while (arrivals[last]!.begunAt - arrivals[first]!.begunAt > windowMs) {
        first++;
      }
      if (last - first < limit) {
        continue;
      }
      const from = arrivals[last]!.begunAt - windowMs;
      const count = arrivals.slice(first, last + 1)
        .filter(({ sentAt }) => sentAt >= from).length;
      if (count > limit) {
        return [{
          rule: "QUOTA" as const,
          subject: workspace,
          at: arrivals[last]!.begunAt,
          detail: `${count} operations in ${QUOTA.windowS} s, ` +
            `${Math.floor(limit)} allowed`,
        }];
      }
    }
    return [];
  });
}

interface Arrival {
  readonly sentAt: number;
  readonly begunAt: number;
}

/** Lists when the operations of a workspace arrived at targets, by time. */
function listArrivals(history: SoakHistory, workspace: string): Arrival[] {
  const begun = new Map(history.groups.flatMap((group) => [...group.begun]));
  const first = new Map<string, Arrival>();
  for (
    const { id, operation, workspace: owner, sentAt } of history.statements
  ) {
    const begunAt = begun.get(id);
    if (owner === workspace && begunAt !== undefined && !first.has(operation)) {
      first.set(operation, { sentAt, begunAt });
    }
  }
  return [...first.values()].sort((a, b) => a.begunAt - b.begunAt);
}

/** Promotions with a fencing token that another holder has used. */
export function checkOne(history: SoakHistory): Violation[] {
  const holders = new Map<string, string>();
  return history.promotions.flatMap((order) => {
    const key = `${order.service} ${order.fencingToken}`;
    const holder = holders.get(key) ?? order.holder;
    holders.set(key, holder);
    return holder === order.holder ? [] : [{
      rule: "ONE" as const,
      subject: order.service,
      at: 0,
      detail: `${holder} and ${order.holder} used token ${order.fencingToken}`,
    }];
  });
}

/** Hosts that did not end within their grace. */
export function checkGrace(history: SoakHistory): Violation[] {
  return history.stops.flatMap(({ host, at, endedAt, isDisrupted }) => {
    const isLate = !isDisrupted &&
      (endedAt === undefined ||
        endedAt - at >
          GRACE_MS +
            getStalledMs(history.stalls, { host, from: at, to: endedAt }));
    return isLate
      ? [{
        rule: "GRACE" as const,
        subject: host,
        at,
        detail: endedAt === undefined
          ? `still running ${GRACE_S} s after SIGTERM`
          : `ended ${Math.round(endedAt - at)} ms after SIGTERM`,
      }]
      : [];
  });
}
