/** Carries an admitted request to the hosts that pool for its group. */

import { nowMs } from "./clock.ts";
import { type Failure, getErrorAnswer } from "./errors.ts";
import { asId, type HostId, type TxId } from "./ids.ts";
import { afterSending, failed, unavailable } from "./outcome.ts";
import { toCommitOutcome } from "./transact.ts";
import type { Admitted, ExecOp, ExecReq, Outcome } from "./types.ts";
import type { Settled } from "./write.ts";

/** What forwarding needs of the host. */
export interface ForwardOptions {
  /** Hosts that pool for the group of a request, best first. */
  listHosts(admitted: Admitted): readonly HostId[];
  /** Runs a request at a host; `outcome_unknown` if no answer came. */
  exec(host: HostId, req: ExecReq): Promise<Outcome>;
  /** Told before a transaction is begun at a host. */
  onBegin(host: HostId): void;
}

/**
 * Runs a request at one pool host after the other until its outcome is known.
 * Whatever goes to a second host is recorded by its id at the target, so that
 * it runs once, or is a read.
 */
export async function forward(
  options: ForwardOptions,
  admitted: Admitted,
): Promise<Outcome> {
  const { op } = admitted;
  const tx = tryTxHost(op);
  if (!tx) {
    return await runAtAny(options, admitted);
  }
  const outcome = await runAt(options, { admitted, host: tx });
  if (outcome.kind === "done" || outcome.error !== "outcome_unknown") {
    return outcome;
  }
  return op.kind === "end" && op.end === "commit"
    ? await settleCommit(options, { admitted, id: op.id })
    : failed({ error: "transaction_lost" });
}

async function runAtAny(
  options: ForwardOptions,
  admitted: Admitted,
): Promise<Outcome> {
  const tried = new Set<HostId>();
  let maySent = false;
  let last: Failure = unavailable();
  while (nowMs() < admitted.deadline) {
    const host = options.listHosts(admitted).find((h) => !tried.has(h));
    if (!host) {
      break;
    }
    tried.add(host);
    const outcome = await runAt(options, { admitted, host });
    if (outcome.kind === "done") {
      return outcome;
    }
    const { kind: _, ...failure } = outcome;
    maySent ||= getErrorAnswer(failure.error).run === "unknown";
    last = failure;
    if (!mayTryNext(failure)) {
      break;
    }
  }
  return failed(maySent ? afterAttempts(admitted.op, last) : last);
}

async function runAt(
  options: ForwardOptions,
  given: { readonly admitted: Admitted; readonly host: HostId },
): Promise<Outcome> {
  const { admitted, host } = given;
  const { workspace, group, session, floor } = admitted;
  if (admitted.op.kind === "begin") {
    options.onBegin(host);
  }
  const req: ExecReq = {
    kind: "exec",
    workspace,
    group: group.group,
    op: withTxHost(admitted.op, host),
    session,
    budgetMs: Math.max(0, admitted.deadline - nowMs()),
    ...(floor ? { floor } : {}),
  };
  return await options.exec(host, req);
}

/** The host of a transaction is lost; the commit's id tells if it ran. */
async function settleCommit(
  options: ForwardOptions,
  given: { readonly admitted: Admitted; readonly id: ExecOp["id"] },
): Promise<Outcome> {
  const { admitted, id } = given;
  const op: ExecOp = { kind: "outcome", id, of: id };
  const outcome = await runAtAny(options, { ...admitted, op });
  return outcome.kind === "done"
    ? toCommitOutcome(outcome.result as Settled, outcome.floor)
    : failed({ error: "outcome_unknown" });
}

/** Other hosts of the group may still get an answer. */
function mayTryNext({ error }: Failure): boolean {
  return error === "unavailable" || error === "shutting_down" ||
    error === "outcome_unknown";
}

/** A read or an empty transaction that got no answer has changed nothing. */
function afterAttempts(op: ExecOp, failure: Failure): Failure {
  const changesNothing = op.kind === "read" || op.kind === "begin";
  if (!changesNothing) {
    return afterSending(failure);
  }
  return failure.error === "outcome_unknown" ? unavailable() : failure;
}

const TX_HOST_SEPARATOR = "/";

/** Names the host that will hold the connection in the transaction's id. */
function withTxHost(op: ExecOp, host: HostId): ExecOp {
  return op.kind === "begin"
    ? { ...op, tx: asId<TxId>(`${host}${TX_HOST_SEPARATOR}${op.tx}`) }
    : op;
}

function tryTxHost(op: ExecOp): HostId | undefined {
  if (op.kind === "begin" || !("tx" in op) || !op.tx) {
    return undefined;
  }
  return asId<HostId>(op.tx.split(TX_HOST_SEPARATOR)[0]!);
}
