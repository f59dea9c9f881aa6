/**
 * Deliberately broken hosts, one for each invariant that the checker counts. A
 * checker that cannot report these proves nothing.
 */

import { Err, Ok, type Result } from "ts-results-es";
import { asId, type WorkspaceId } from "../../src/core/ids.ts";
import type {
  ControlReq,
  HostIo,
  RunReq,
  RunRes,
  TargetConn,
  TargetDriver,
  TargetErr,
  TargetInfo,
  TargetStatus,
} from "../../src/core/types.ts";
import type { Settings } from "../../src/generated/settings.ts";

type Wrap = (settings: Settings) => (io: HostIo) => HostIo;
type RunResult = Result<RunRes, TargetErr>;

const FAR_POSITION = 1_000_000_000;
const RATE_FACTOR = 20;
/** One write in this many is broken, so that the rest of a run goes on. */
const BROKEN_EVERY = 10;
/** Keys of this form are looked for at targets. */
const LEAKED_KEY = `tck_${"0".repeat(18)}_${"0".repeat(48)}`;
const FIRST_TERM = 1;

/** A wrapper of a host's contact to the outside for each broken policy. */
export const BROKEN_WRAPPERS = {
  /** Acknowledges what the primary alone holds. */
  "lost": () => (io) => wrapControl(io, answerAwaitAtOnce),
  /** Runs an unrepeatable write again under another id. */
  "doubled": () => (io) =>
    wrapRun(io, async (conn, req, timeoutMs) => {
      const res = await conn.run(req, timeoutMs);
      if (isUniqueWrite(req) && isChosen(req.id)) {
        await conn.run({ ...req, unique: false }, timeoutMs);
      }
      return res;
    }),
  /** Takes every replica for up to date. */
  "staleReads": () => (io) =>
    wrapRun(wrapControl(io, overstateStatus), overstateRead),
  /** Runs statements for a workspace that is not the caller's. */
  "wrongWorkspace": () => (io) =>
    wrapRun(io, (conn, req, timeoutMs) =>
      conn.run(
        req.kind === "read" || isUniqueWrite(req)
          ? { ...req, workspace: asId<WorkspaceId>("someone-else") }
          : req,
        timeoutMs,
      )),
  /** Lets a transaction ride on the connection of another one. */
  "mixedTransactions": () => (io) => shareTransactions(io),
  /** One host holds on to the first primary and asks nobody else. */
  "oldPrimaryAcks": (settings) => (io) =>
    settings.host === "h1"
      ? wrapControl(wrapControl(io, answerAwaitAtOnce), hideNewTerms)
      : io,
  /** Reads a rate that no plan allows. */
  "overRate": () => (io) => raiseRates(io),
  /** Tells that a write was cancelled after it ran. */
  "falseNotRun": () => (io) =>
    wrapRun(io, async (conn, req, timeoutMs) => {
      const res = await conn.run(req, timeoutMs);
      return isUniqueWrite(req) && isChosen(req.id) && res.isOk()
        ? Err({ kind: "cancelled", sent: true })
        : res;
    }),
  /** Sends without a record of the id, loses the answer and sends again. */
  "ranTwice": () => (io) => {
    const sent = new Set<string>();
    return wrapRun(io, async (conn, req, timeoutMs) => {
      if (!isUniqueWrite(req) || !isChosen(req.id)) {
        return await conn.run(req, timeoutMs);
      }
      const res = await conn.run({ ...req, unique: false }, timeoutMs);
      const isFirst = !sent.has(req.id);
      sent.add(req.id);
      return isFirst ? Err({ kind: "no_answer", sent: true }) : res;
    });
  },
  /** Passes a caller's key on in the statement. */
  "keyAtTarget": () => (io) =>
    wrapRun(io, (conn, req, timeoutMs) =>
      conn.run(
        req.kind === "read"
          ? { ...req, body: { ...req.body as object, key_: LEAKED_KEY } }
          : req,
        timeoutMs,
      )),
} as const satisfies Readonly<Record<string, Wrap>>;

/** Names of the broken policies, each that of the count which must report it. */
export type BrokenName = keyof typeof BROKEN_WRAPPERS;

function isUniqueWrite(
  req: RunReq,
): req is Extract<RunReq, { kind: "write" }> {
  return req.kind === "write" && req.unique;
}

function isChosen(id: string): boolean {
  return Number(id.replaceAll(/\D/g, "")) % BROKEN_EVERY === 0;
}

type RunOn = (
  conn: TargetConn,
  req: RunReq,
  timeoutMs: number,
) => Promise<RunResult>;

function wrapRun(io: HostIo, runOn: RunOn): HostIo {
  const targets: TargetDriver = {
    ...io.targets,
    async connect(target) {
      const found = await io.targets.connect(target);
      return found.map((conn): TargetConn => ({
        ...conn,
        run: (req, timeoutMs) => runOn(conn, req, timeoutMs),
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

function answerAwaitAtOnce(control: Control): Control {
  return (target, req, timeoutMs) =>
    req.kind === "await"
      ? Promise.resolve(Ok(toHolder(target, req)))
      : control(target, req, timeoutMs);
}

function toHolder(
  target: TargetInfo,
  { at }: Extract<ControlReq, { kind: "await" }>,
): TargetStatus {
  return { target: target.target, term: at.term, role: "replica", logEnd: at };
}

function overstateStatus(control: Control): Control {
  return async (target, req, timeoutMs) => {
    const res = await control(target, req, timeoutMs);
    return req.kind === "status" ? res.map(toFarStatus) : res;
  };
}

function toFarStatus(status: TargetStatus): TargetStatus {
  return { ...status, logEnd: { term: status.term, pos: FAR_POSITION } };
}

const overstateRead: RunOn = async (conn, req, timeoutMs) => {
  const res = await conn.run(req, timeoutMs);
  return req.kind === "read"
    ? res.map((ok) => ({ ...ok, at: { ...ok.at, pos: FAR_POSITION } }))
    : res;
};

/** Shows targets of newer terms as replicas of the first one. */
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
  const platform = {
    ...io.platform,
    async list(prefix: string) {
      const found = await io.platform.list(prefix);
      return found.map((res) => ({
        ...res,
        objects: res.objects.map((object) => ({
          ...object,
          value: withRaisedRates(object.value),
        })),
      }));
    },
  };
  return { ...io, platform };
}

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

/** Sends the writes of every second transaction on the connection of another. */
function shareTransactions(io: HostIo): HostIo {
  const open = new Map<string, TargetConn>();
  const guests = new Map<TargetConn, TargetConn>();

  return wrapRun(io, async (conn, req, timeoutMs) => {
    const host = guests.get(conn);
    if (req.kind === "begin") {
      const key = `${conn.target}/${req.workspace}`;
      const other = open.get(key);
      if (other?.isOpen()) {
        guests.set(conn, other);
      } else {
        open.set(key, conn);
      }
      return await conn.run(req, timeoutMs);
    }
    if (req.kind === "commit" || req.kind === "rollback") {
      guests.delete(conn);
      open.forEach((own, key) => own === conn && open.delete(key));
    }
    return await (req.kind === "write" && host ? host : conn)
      .run(req, timeoutMs);
  });
}
