/**
 * Requests that other hosts make a primary step down which this host may not
 * reach, and collects the copies of the log that they know.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId, ServiceId, TargetId } from "../core/ids.ts";
import type { AskStepDown, TellStepDown } from "../generated/pool_peer.ts";
import type { ExecutionContext } from "./execution.ts";
import type { LogCopies } from "./log_copies.ts";
import { createStepDown, type StepDownRes } from "./step_down.ts";
import type { Position } from "./types.ts";

/**
 * Time for the answers, in milliseconds: a round trip between regions to the
 * peer and three from it to the target, one of them for a connection.
 */
const REPLY_TIMEOUT_MS = 250;
/** Interval at which an unanswered request is repeated, in milliseconds. */
const REPEAT_INTERVAL_MS = 100;

/** Step-down that is requested of other hosts. */
export interface StepDownOrder {
  readonly service: ServiceId;
  /** Undefined to ask for the known copies only. */
  readonly target: TargetId | undefined;
  readonly term: number;
}

/** Answers of the other hosts. */
export interface PeerAnswers {
  /** Log end of the target, if a peer made it step down. */
  readonly steppedDownAt: Position | undefined;
  /** Whether a peer had an answer from the target. */
  readonly isReachable: boolean;
  readonly copies: readonly TargetId[];
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
  readonly unanswered: Set<HostId>;
  answers: PeerAnswers;
  finish(): void;
}

/** Creates the requests of this host. */
export function createStepDownRequests(
  ctx: ExecutionContext,
  options: { readonly copies: LogCopies; listPeers(): readonly HostId[] },
): StepDownRequests {
  const { peers, log } = ctx.io;
  const { copies } = options;
  const pending = new Map<number, PendingRequest>();
  let nextId = 0;

  function listKnownCopies(service: ServiceId): TargetId[] {
    return [...copies.listIds(service)];
  }

  async function attempt(
    { target: id, term }: AskStepDown,
  ): Promise<StepDownRes> {
    const target = id === undefined ? undefined : copies.tryGet(id);
    // The sender waits for all answers, so a peer without hope answers at once.
    return !target || ctx.health.isSuspect(target.id)
      ? { kind: "unreachable" }
      : await createStepDown(ctx, { target, term })();
  }

  return {
    send(order) {
      const { service, target, term } = order;
      const listed = options.listPeers();
      const id = nextId++;
      const startedAt = nowMs();
      return new Promise((resolve) => {
        const request: PendingRequest = {
          unanswered: new Set(listed),
          answers: { steppedDownAt: undefined, isReachable: false, copies: [] },
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
              isSteppedDown: request.answers.steppedDownAt !== undefined,
              isReachable: request.answers.isReachable,
              ms: Math.round(nowMs() - startedAt),
            });
            resolve(request.answers);
          },
        };
        const ask = () =>
          request.unanswered.forEach((peer) =>
            peers.send(peer, {
              kind: "ask_step_down",
              id,
              service,
              term,
              ...(target === undefined ? {} : { target }),
            })
          );
        const repeat = setInterval(ask, REPEAT_INTERVAL_MS);
        const timer = setTimeout(request.finish, REPLY_TIMEOUT_MS);
        pending.set(id, request);
        ask();
        if (listed.length === 0) {
          request.finish();
        }
      });
    },
    async handleRequest(from, msg) {
      const res = await attempt(msg);
      if (msg.target !== undefined) {
        log.info("step_down_for_peer", {
          peer: from,
          target: msg.target,
          term: msg.term,
          result: res.kind,
        });
      }
      peers.send(from, {
        kind: "tell_step_down",
        id: msg.id,
        state: res.kind === "not_primary" ? "unreachable" : res.kind,
        copies: listKnownCopies(msg.service),
        ...(res.kind === "stepped_down" ? res.position : {}),
      });
    },
    handleReply(from, msg) {
      const request = pending.get(msg.id);
      if (!request?.unanswered.delete(from)) {
        return;
      }
      const { answers } = request;
      const position = msg.state === "stepped_down" &&
          msg.term !== undefined && msg.pos !== undefined
        ? { term: msg.term, pos: msg.pos }
        : undefined;
      request.answers = {
        steppedDownAt: answers.steppedDownAt ?? position,
        isReachable: answers.isReachable || msg.state !== "unreachable",
        copies: [...answers.copies, ...msg.copies],
      };
      if (position || request.unanswered.size === 0) {
        request.finish();
      }
    },
  };
}
