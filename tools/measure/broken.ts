/**
 * Deliberately broken hosts, one for each invariant that the checker counts.
 * They verify that the checker reports a violation of each.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { asId, type WorkspaceId } from "../../src/core/ids.ts";
import type {
  ControlReq,
  HostIo,
  PlatformStore,
  RunReq,
  RunRes,
  TargetConn,
  TargetDriver,
  TargetErr,
  TargetInfo,
  TargetStatus,
  WatchRes,
} from "../../src/core/types.ts";
import type { Settings } from "../../src/generated/settings.ts";

type WrapperFactory = (settings: Settings) => (io: HostIo) => HostIo;
type RunResult = Result<RunRes, TargetErr>;

const FAR_POSITION = 1_000_000_000;
const RATE_FACTOR = 20;
/** One write in this many is broken, so that the rest of the run continues. */
const BROKEN_WRITE_INTERVAL = 10;
/** API key in the format that the targets of a run search statements for. */
const LEAKED_KEY = `tck_${"0".repeat(18)}_${"0".repeat(48)}`;
const FIRST_TERM = 1;

/** Wrapper of a host's I/O for each broken policy. */
export const BROKEN_WRAPPERS = {
  /** Acknowledges writes that only the primary has stored. */
  "lost": () => (io) => wrapControl(io, answerAwaitImmediately),
  /** Executes an unrepeatable write again, without the check of its id. */
  "doubled": () => (io) =>
    wrapRun(io, async (conn, req, timeoutMs) => {
      const res = await conn.run(req, timeoutMs);
      if (isUniqueWrite(req) && isSelectedWrite(req.id)) {
        await conn.run({ ...req, unique: false }, timeoutMs);
      }
      return res;
    }),
  /** Treats every replica as up to date. */
  "staleReads": () => (io) =>
    wrapRun(wrapControl(io, overstateStatus), overstateRead),
  /** Executes statements for a workspace that is not the caller's. */
  "wrongWorkspace": () => (io) =>
    wrapRun(io, (conn, req, timeoutMs) =>
      conn.run(
        req.kind === "read" || isUniqueWrite(req)
          ? { ...req, workspace: asId<WorkspaceId>("someone-else") }
          : req,
        timeoutMs,
      )),
  /** Sends writes of a transaction on the connection of another one. */
  "mixedTransactions": () => (io) => shareConnections(io),
  /** Host `h1` keeps using the first primary and skips the confirmation. */
  "oldPrimaryAcks": (settings) => (io) =>
    settings.host === "h1"
      ? wrapControl(wrapControl(io, answerAwaitImmediately), hideNewTerms)
      : io,
  /** Raises the rates and bursts of the plans that a host reads. */
  "overRate": () => (io) => raiseRates(io),
  /** Reports a write as cancelled after it was executed. */
  "falseNotRun": () => (io) =>
    wrapRun(io, async (conn, req, timeoutMs) => {
      const res = await conn.run(req, timeoutMs);
      return isUniqueWrite(req) && isSelectedWrite(req.id) && res.isOk()
        ? Err({ kind: "cancelled", sent: true })
        : res;
    }),
  /**
   * Sends a write without the check of its id and drops the first answer, so
   * that the host sends the write again.
   */
  "ranTwice": () => (io) => {
    const sent = new Set<string>();
    return wrapRun(io, async (conn, req, timeoutMs) => {
      if (!isUniqueWrite(req) || !isSelectedWrite(req.id)) {
        return await conn.run(req, timeoutMs);
      }
      const res = await conn.run({ ...req, unique: false }, timeoutMs);
      const isFirst = !sent.has(req.id);
      sent.add(req.id);
      return isFirst ? Err({ kind: "no_answer", sent: true }) : res;
    });
  },
  /** Adds an API key to the statement. */
  "keyAtTarget": () => (io) =>
    wrapRun(io, (conn, req, timeoutMs) =>
      conn.run(
        req.kind === "read"
          ? { ...req, body: { ...req.body as object, key_: LEAKED_KEY } }
          : req,
        timeoutMs,
      )),
} as const satisfies Readonly<Record<string, WrapperFactory>>;

/** Names of the broken policies: the invariant counts that must report them. */
export type BrokenName = keyof typeof BROKEN_WRAPPERS;

function isUniqueWrite(
  req: RunReq,
): req is Extract<RunReq, { kind: "write" }> {
  return req.kind === "write" && req.unique;
}

function isSelectedWrite(id: string): boolean {
  return Number(id.replaceAll(/\D/g, "")) % BROKEN_WRITE_INTERVAL === 0;
}

type RunStatement = (
  conn: TargetConn,
  req: RunReq,
  timeoutMs: number,
) => Promise<RunResult>;

function wrapRun(io: HostIo, runStatement: RunStatement): HostIo {
  const targets: TargetDriver = {
    ...io.targets,
    async connect(target) {
      const connected = await io.targets.connect(target);
      return connected.map((conn): TargetConn => ({
        ...conn,
        run: (req, timeoutMs) => runStatement(conn, req, timeoutMs),
      }));
    },
  };
  return { ...io, targets };
}

type Control = TargetDriver["control"];

function wrapControl(
  io: HostIo,
  wrap: (control: Control) => Control,
): HostIo {
  const targets = { ...io.targets, control: wrap(io.targets.control) };
  return { ...io, targets };
}

function answerAwaitImmediately(control: Control): Control {
  return (target, req, timeoutMs) =>
    req.kind === "await"
      ? Promise.resolve(Ok(toHolderStatus(target, req)))
      : control(target, req, timeoutMs);
}

function toHolderStatus(
  target: TargetInfo,
  { at }: Extract<ControlReq, { kind: "await" }>,
): TargetStatus {
  return { target: target.target, term: at.term, role: "replica", logEnd: at };
}

function overstateStatus(control: Control): Control {
  return async (target, req, timeoutMs) => {
    const res = await control(target, req, timeoutMs);
    return req.kind === "status" ? res.map(withFarPosition) : res;
  };
}

function withFarPosition(status: TargetStatus): TargetStatus {
  return { ...status, logEnd: { term: status.term, pos: FAR_POSITION } };
}

const overstateRead: RunStatement = async (conn, req, timeoutMs) => {
  const res = await conn.run(req, timeoutMs);
  return req.kind === "read"
    ? res.map((ok) => ({ ...ok, at: { ...ok.at, pos: FAR_POSITION } }))
    : res;
};

/** Reports targets of newer terms as replicas of the first term. */
function hideNewTerms(control: Control): Control {
  return async (target, req, timeoutMs) => {
    const res = await control(target, req, timeoutMs);
    return res.map((status): TargetStatus =>
      status.term > FIRST_TERM
        ? {
          ...status,
          term: FIRST_TERM,
          role: "replica",
          logEnd: { ...status.logEnd, term: FIRST_TERM },
        }
        : status
    );
  };
}

function raiseRates(io: HostIo): HostIo {
  const raise = (res: WatchRes): WatchRes => ({
    ...res,
    objects: res.objects.map((object) => ({
      ...object,
      value: withRaisedRates(object.value),
    })),
  });
  const platform: PlatformStore = {
    ...io.platform,
    list: async (prefix) => (await io.platform.list(prefix)).map(raise),
    watch: async (prefix, options) =>
      (await io.platform.watch(prefix, options)).map(raise),
  };
  return { ...io, platform };
}

/** Raises the rates of a services list; no other object has any. */
function withRaisedRates(value: unknown): unknown {
  const list = value as {
    readonly kind?: string;
    readonly plans?: readonly { ratePerSecond: number; burst: number }[];
  };
  return list?.kind !== "services" ? value : {
    ...list,
    plans: list.plans?.map((plan) => ({
      ...plan,
      ratePerSecond: plan.ratePerSecond * RATE_FACTOR,
      burst: plan.burst * RATE_FACTOR,
    })),
  };
}

/**
 * Sends the writes of a transaction on the connection of another open
 * transaction of the same workspace, if there is one.
 */
function shareConnections(io: HostIo): HostIo {
  const openConns = new Map<string, TargetConn>();
  const redirects = new Map<TargetConn, TargetConn>();

  return wrapRun(io, async (conn, req, timeoutMs) => {
    const redirectedTo = redirects.get(conn);
    if (req.kind === "begin") {
      const key = `${conn.target}/${req.workspace}`;
      const other = openConns.get(key);
      if (other?.isOpen()) {
        redirects.set(conn, other);
      } else {
        openConns.set(key, conn);
      }
      return await conn.run(req, timeoutMs);
    }
    if (req.kind === "commit" || req.kind === "rollback") {
      redirects.delete(conn);
      openConns.forEach((openConn, key) =>
        openConn === conn && openConns.delete(key)
      );
    }
    return await (req.kind === "write" && redirectedTo ? redirectedTo : conn)
      .run(req, timeoutMs);
  });
}
