/**
 * Requests that other hosts make a primary step down which this host may not
 * reach, and collects the copies of the log that they know.
 */

import { nowMs } from "../core/clock.ts";
import { rankNodes } from "../core/hash.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import type { AskStepDown, TellStepDown } from "../generated/pool_peer.ts";
import type { ExecutionContext } from "./execution.ts";
import type { LogCopies } from "./log_copies.ts";
import { createStepDown, isLikelyDark, type StepDownRes } from "./step_down.ts";
import type { Position } from "./types.ts";

/**
 * Time for the answers, in milliseconds: a round trip between regions to the
 * peer and three from it to the target, one of them for a connection.
 */
const REPLY_TIMEOUT_MS = 250;
/** Interval at which an unanswered request is repeated, in milliseconds. */
const REPEAT_INTERVAL_MS = 100;

/**
 * Maximum number of hosts that are asked, since each of them may open a
 * connection to the target. The hosts that poll the primary come first.
 */
const MAX_ASKED_HOSTS = 24;
/** Maximum number of step-downs for peers that this host remembers. */
const MAX_REMEMBERED_ATTEMPTS = 32;

/** Step-down that is requested of other hosts. */
export interface StepDownOrder {
  readonly service: ServiceId;
  /** Undefined to ask whether a primary answers, and for the known copies. */
  readonly target: TargetId | undefined;
  readonly term: number;
  /** Token of the claim for which acknowledgements are to be withheld. */
  readonly fencingToken: number;
}

/** Answers of the other hosts. */
export interface PeerAnswers {
  /** Log end of the target, if a peer made it step down. */
  readonly steppedDownAt: Position | undefined;
  /**
   * Log end of the target, if a peer found it as a replica that has followed no
   * primary of this term or later.
   */
  readonly replicaEnd: Position | undefined;
  /** Whether a peer had an answer from the target that may be a primary's. */
  readonly isReachable: boolean;
  readonly copies: readonly TargetId[];
  /**
   * Whether each host that was asked withholds acknowledgements of lower terms
   * until the failover has ended, see `CommitBarrier`.
   */
  readonly isPromised: boolean;
}

/** Sends requests to the other hosts and answers theirs. */
export interface StepDownRequests {
  /**
   * Resolves once a peer made the target step down, all peers have answered, or
   * the time is over.
   */
  send(order: StepDownOrder): Promise<PeerAnswers>;
  handleRequest(from: HostId, msg: AskStepDown): Promise<void>;
  handleReply(from: HostId, msg: TellStepDown): void;
}

interface PendingRequest {
  readonly order: StepDownOrder;
  readonly unanswered: Set<HostId>;
  /** Hosts that have not promised to withhold acknowledgements. */
  readonly unpromised: Set<HostId>;
  answers: Omit<PeerAnswers, "isPromised">;
  finish(): void;
}

/** Creates the requests of this host. */
export function createStepDownRequests(
  ctx: ExecutionContext,
  options: {
    readonly copies: LogCopies;
    /** Lists the hosts that may have connections to targets. */
    listPeers(): readonly HostId[];
  },
): StepDownRequests {
  const { peers, log } = ctx.io;
  const { copies } = options;
  const pending = new Map<number, PendingRequest>();
  /** Attempts by target and term, which may be asked for again. */
  const attempts = new Map<string, ReturnType<typeof createStepDown>>();
  let nextId = 0;

  function listKnownCopies(service: ServiceId): TargetId[] {
    return [
      ...copies.list(service).map(({ id }) => id),
      ...copies.listLost(service),
    ];
  }

  async function attempt(
    { service, target: id, term }: AskStepDown,
  ): Promise<StepDownRes> {
    if (id === undefined) {
      // The sender does not know which target leads.
      const primary = ctx.primaries.tryPrimary(service);
      const known = primary && copies.tryGet(primary);
      return {
        kind: known && !isLikelyDark(ctx, known) ? "answers" : "unreachable",
      };
    }
    const target = copies.tryGet(id);
    if (!target) {
      return { kind: "unreachable" };
    }
    const key = `${target.id} ${term}`;
    const stepDown = attempts.get(key) ?? createStepDown(ctx, { target, term });
    attempts.delete(key);
    attempts.set(key, stepDown);
    const [oldest] = attempts.keys();
    if (attempts.size > MAX_REMEMBERED_ATTEMPTS && oldest !== undefined) {
      attempts.delete(oldest);
    }
    return await stepDown();
  }

  return {
    send(order) {
      const { service, target, term, fencingToken } = order;
      const listed = rankNodes(service, options.listPeers())
        .slice(0, MAX_ASKED_HOSTS);
      const id = nextId++;
      const startedAt = nowMs();
      return new Promise((resolve) => {
        const request: PendingRequest = {
          order,
          unanswered: new Set(listed),
          unpromised: new Set(listed),
          answers: {
            steppedDownAt: undefined,
            replicaEnd: undefined,
            isReachable: false,
            copies: [],
          },
          finish() {
            clearInterval(repeat);
            clearTimeout(timer);
            pending.delete(id);
            log.info("step_down_requested", {
              service,
              target,
              term,
              asked: listed.length,
              unanswered: request.unanswered.size,
              unpromised: request.unpromised.size,
              isSteppedDown: request.answers.steppedDownAt !== undefined,
              isReachable: request.answers.isReachable,
              ms: Math.round(nowMs() - startedAt),
            });
            resolve({
              ...request.answers,
              isPromised: request.unpromised.size === 0,
            });
          },
        };
        const plain = {
          kind: "ask_step_down",
          id,
          service,
          term,
          ...(target === undefined ? {} : { target }),
        } as const;
        const ask = (hosts: ReadonlySet<HostId>) =>
          hosts.forEach((peer) => peers.send(peer, { ...plain, fencingToken }));
        const repeat = setInterval(() => {
          ask(request.unanswered);
          // A host of an earlier version ignores messages with a token.
          request.unpromised.forEach((peer) => peers.send(peer, plain));
        }, REPEAT_INTERVAL_MS);
        const timer = setTimeout(request.finish, REPLY_TIMEOUT_MS);
        pending.set(id, request);
        ask(request.unanswered);
        if (listed.length === 0) {
          request.finish();
        }
      });
    },
    async handleRequest(from, msg) {
      const { id, service, target, term, fencingToken } = msg;
      if (fencingToken !== undefined) {
        ctx.barrier.promise(service, { term, fencingToken });
      }
      const tell = (
        state: TellStepDown["state"],
        position?: Position,
      ) =>
        peers.send(from, {
          kind: "tell_step_down",
          id,
          service,
          state,
          copies: listKnownCopies(service),
          // A host of an earlier version ignores answers with this field.
          ...(fencingToken === undefined ? {} : { isPromised: true }),
          ...(target === undefined ? {} : { target }),
          ...position,
        });
      tell("trying");
      const res = await attempt(msg);
      log.info("step_down_for_peer", {
        peer: from,
        target,
        term,
        result: res.kind,
      });
      tell(
        res.kind === "not_primary" ? "unreachable" : res.kind,
        res.kind === "stepped_down" || res.kind === "not_primary"
          ? res.position
          : undefined,
      );
    },
    handleReply(from, msg) {
      const request = pending.get(msg.id);
      // A reply may be for an earlier process of this host.
      const isForRequest = msg.service === request?.order.service &&
        msg.target === request.order.target;
      if (!isForRequest || !request?.unanswered.has(from)) {
        return;
      }
      if (msg.isPromised === true) {
        request.unpromised.delete(from);
      }
      const { answers } = request;
      if (msg.state === "trying") {
        request.answers = {
          ...answers,
          copies: [...answers.copies, ...msg.copies],
        };
        return;
      }
      request.unanswered.delete(from);
      const position = msg.term !== undefined && msg.pos !== undefined
        ? { term: msg.term, pos: msg.pos }
        : undefined;
      const steppedDownAt = msg.state === "stepped_down" ? position : undefined;
      request.answers = {
        steppedDownAt: answers.steppedDownAt ?? steppedDownAt,
        replicaEnd: answers.replicaEnd ??
          (msg.state === "unreachable" ? position : undefined),
        isReachable: answers.isReachable || msg.state !== "unreachable",
        copies: [...answers.copies, ...msg.copies],
      };
      if (steppedDownAt || request.unanswered.size === 0) {
        request.finish();
      }
    },
  };
}
