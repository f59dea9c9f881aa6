/** Forwards an admitted request to the pool hosts of its group. */

import { nowMs } from "./clock.ts";
import { type Failure, getErrorAnswer } from "./errors.ts";
import { asId, type HostId, type TxId } from "./ids.ts";
import { failed, toFailureAfterSend, unavailable } from "./outcome.ts";
import { toCommitOutcome } from "./transact.ts";
import type { Admitted, ExecOp, ExecReq, Outcome } from "./types.ts";
import type { ResolvedOutcome } from "./write.ts";

/** Dependencies of forwarding. */
export interface ForwardOptions {
  /** Lists the pool hosts of the request's group, most preferred first. */
  listHosts(admitted: Admitted): readonly HostId[];
  /**
   * Runs a request on a pool host. Fails with `outcome_unknown` if the host does
   * not answer.
   */
  exec(host: HostId, req: ExecReq): Promise<Outcome>;
  /** Called before a transaction is begun on a host. */
  onBegin(host: HostId): void;
}

/**
 * Runs a request on one pool host after another until its outcome is known.
 * Retrying on a second host is safe: a write is recorded at the target by its
 * request id and therefore runs once, and a read changes nothing.
 */
export async function forward(
  options: ForwardOptions,
  admitted: Admitted,
): Promise<Outcome> {
  const { op } = admitted;
  const txHost = tryTxHost(op);
  if (!txHost) {
    return await runAtAnyHost(options, admitted);
  }
  const outcome = await runAtHost(options, { admitted, host: txHost });
  if (outcome.kind === "done" || outcome.error !== "outcome_unknown") {
    return outcome;
  }
  return op.kind === "end" && op.end === "commit"
    ? await resolveCommit(options, { admitted, id: op.id })
    : failed({ error: "transaction_lost" });
}

async function runAtAnyHost(
  options: ForwardOptions,
  admitted: Admitted,
): Promise<Outcome> {
  const tried = new Set<HostId>();
  let mayHaveExecuted = false;
  let lastFailure: Failure = unavailable();
  while (nowMs() < admitted.deadline) {
    const host = options.listHosts(admitted).find((h) => !tried.has(h));
    if (!host) {
      break;
    }
    tried.add(host);
    const outcome = await runAtHost(options, { admitted, host });
    if (outcome.kind === "done") {
      return outcome;
    }
    const { kind: _, ...failure } = outcome;
    mayHaveExecuted ||= getErrorAnswer(failure.error).run === "unknown";
    lastFailure = failure;
    if (!isRetryableElsewhere(failure)) {
      break;
    }
  }
  return failed(
    mayHaveExecuted ? toFinalFailure(admitted.op, lastFailure) : lastFailure,
  );
}

async function runAtHost(
  options: ForwardOptions,
  attempt: { readonly admitted: Admitted; readonly host: HostId },
): Promise<Outcome> {
  const { admitted, host } = attempt;
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

/**
 * Looks up the outcome of a commit by its request id after its pool host was
 * lost.
 */
async function resolveCommit(
  options: ForwardOptions,
  commit: { readonly admitted: Admitted; readonly id: ExecOp["id"] },
): Promise<Outcome> {
  const { admitted, id } = commit;
  const op: ExecOp = { kind: "outcome", id, of: id };
  const outcome = await runAtAnyHost(options, { ...admitted, op });
  return outcome.kind === "done"
    ? toCommitOutcome(outcome.result as ResolvedOutcome, outcome.floor)
    : failed({ error: "outcome_unknown" });
}

/** Returns true if the request may succeed on another pool host. */
function isRetryableElsewhere({ error }: Failure): boolean {
  return error === "unavailable" || error === "shutting_down" ||
    error === "outcome_unknown";
}

/**
 * Returns the failure of a request that may have executed. A read or a `begin`
 * without an answer has no effect, so its outcome is never unknown.
 */
function toFinalFailure(op: ExecOp, failure: Failure): Failure {
  const hasNoEffect = op.kind === "read" || op.kind === "begin";
  if (!hasNoEffect) {
    return toFailureAfterSend(failure);
  }
  return failure.error === "outcome_unknown" ? unavailable() : failure;
}

const TX_HOST_SEPARATOR = "/";

/** Prefixes the id of a new transaction with the host that will run it. */
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
