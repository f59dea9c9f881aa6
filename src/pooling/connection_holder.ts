/**
 * Runs commands that other hosts forward on this host's connections. A channel
 * is bound to one connection while a transaction is open on it; between
 * transactions the connection serves others.
 */

import { nowMs } from "../core/clock.ts";
import type { HostId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import type { ForwardedReply, ForwardRun } from "../generated/pool_forward.ts";
import type { Checkout } from "./dispatch.ts";
import type { PoolFailure } from "./errors.ts";
import {
  describeReply,
  type ExecutionContext,
  isClean,
  prepareConnection,
  recordReply,
} from "./execution.ts";
import { getPreparedName, type RequiredContext } from "./link_context.ts";
import type {
  ConnectionRequest,
  ForwardResponse,
  HostStream,
  HostStreamHandlers,
  TargetCommand,
  TargetErrCode,
  TargetReply,
} from "./types.ts";

/** Maximum number of channels of one stream, beyond which none is opened. */
const MAX_CHANNELS_PER_STREAM = 1_000;
/** Time for session state to be applied to a connection, in milliseconds. */
const PREPARE_TIMEOUT_MS = 1_000;

/** Refusal of commands for a target that may get no new work. */
const EVACUATED: PoolFailure = {
  error: "overloaded",
  detail: "the target's failure domain is evacuated",
};

/** Serves the commands that other hosts forward to this one. */
export interface ConnectionHolder extends Stoppable {
  accept(
    from: HostId,
    stream: HostStream<ForwardResponse>,
  ): HostStreamHandlers<ConnectionRequest>;
  /** Number of channels with a command at work or an open transaction. */
  countChannels(): number;
  /** Tells the other hosts to use other holders for new channels. */
  announceLeaving(): void;
  /** Refuses new channels as not sent. */
  closeAdmission(): void;
  /** Ends open transactions as soon as no command of theirs is at work. */
  abortTransactionsWhenIdle(): void;
  /** Ends open transactions whose target may get no more statements. */
  abortEvacuatedTransactions(): void;
}

interface Channel {
  /** Connection of the open transaction, if there is one. */
  checkout: Checkout | undefined;
  /** Resolves when the last command received has been answered. */
  tail: Promise<void>;
  pendingCount: number;
  /** Whether the other host has given up the channel. */
  isClosed: boolean;
  /** Ends the wait for a connection; undefined while there is none. */
  waiting: AbortController | undefined;
}

/** Creates a holder without channels. */
export function createConnectionHolder(
  ctx: ExecutionContext,
): ConnectionHolder {
  const streams = new Map<
    HostStream<ForwardResponse>,
    Map<number, Channel>
  >();
  let isLeaving = false;
  let isAdmissionOpen = true;
  let abortsIdleTransactions = false;
  let isStopped = false;

  function unbind(channel: Channel, isReusable: boolean): void {
    channel.checkout?.release(isReusable);
    channel.checkout = undefined;
  }

  async function acquire(
    channel: Channel,
    msg: ForwardRun,
  ): Promise<Checkout | ForwardedReply> {
    const { workspace, priority, waitMs } = msg;
    const target = ctx.directory.tryGet(msg.target);
    if (target?.incarnation !== msg.incarnation) {
      return createRefusal("wrong_target", "unknown to the holder");
    }
    if (!isAdmissionOpen) {
      return createRefusal("not_sent", "the holder is stopping");
    }
    if (ctx.forwarder.isOwnPathDown(target.id)) {
      return createRefusal("target_down", "no answer to the holder");
    }
    const isEligible = () => ctx.eligibility.isEligible(target);
    channel.waiting = new AbortController();
    const acquired = await ctx.dispatcher.acquire({
      service: target.service,
      workspace,
      context: getContext(msg),
      priority,
      deadline: nowMs() + Math.max(1, waitMs),
      isLocalOnly: true,
      signal: channel.waiting.signal,
      // A connection is of no use to a host that has given up.
      listCandidates: () => channel.isClosed || !isEligible() ? [] : [target],
      tryRefuse: () => isEligible() ? undefined : EVACUATED,
      isEligible,
    });
    channel.waiting = undefined;
    if (acquired.isOk()) {
      return acquired.value;
    }
    if (ctx.forwarder.isOwnPathDown(target.id)) {
      return createRefusal("target_down", "the holder cannot reach it");
    }
    const { detail = "no connection", retryAfterMs } = acquired.error;
    const isLoad = acquired.error.error === "overloaded" &&
      retryAfterMs !== undefined;
    return {
      ...createRefusal("not_sent", detail),
      ...(isLoad ? { retryAfterMs } : {}),
    };
  }

  async function execute(
    channel: Channel,
    msg: ForwardRun,
  ): Promise<ForwardedReply> {
    if (mustEnd(channel)) {
      unbind(channel, false);
      return createRefusal("not_sent", "the target's domain is evacuated");
    }
    if (!channel.checkout) {
      if (!msg.isFirst) {
        return createRefusal("not_sent", "the connection has ended before");
      }
      const acquired = await acquire(channel, msg);
      if ("kind" in acquired) {
        return acquired;
      }
      channel.checkout = acquired;
    }
    const { checkout } = channel;
    if (channel.isClosed) {
      unbind(channel, true);
      return createRefusal("not_sent", "given up by its host");
    }
    const fault = await prepareConnection(checkout, {
      context: getContext(msg),
      timeoutMs: PREPARE_TIMEOUT_MS,
    });
    if (fault || !checkout.pooled.link.isOpen()) {
      unbind(channel, false);
      return createRefusal(
        "not_sent",
        fault ? describeReply(fault) : "the connection is closed",
      );
    }
    const sentAt = nowMs();
    const reply = await checkout.pooled.link.send(toCommand(checkout, msg));
    recordReply(ctx, checkout, { reply, latencyMs: nowMs() - sentAt });
    if (reply.kind === "lost" || reply.state === "idle") {
      unbind(channel, isClean(reply));
    }
    return toForwardedReply(reply);
  }

  async function run(
    stream: HostStream<ForwardResponse>,
    channel: Channel,
    msg: ForwardRun,
  ): Promise<void> {
    const reply = await execute(channel, msg);
    channel.pendingCount--;
    // Without a wait, the field would only cost bytes between regions.
    const waits = msg.workspace === undefined
      ? []
      : ctx.dispatcher.listExpectedWaits(msg.target, msg.workspace)
        .filter(({ waitMs }) => waitMs > 0);
    stream.send({
      kind: "reply",
      id: msg.id,
      ...(stream.acceptsLoadFields?.()
        ? { reply, ...(waits.length > 0 ? { waits: [...waits] } : {}) }
        : { reply: withoutLoadFields(reply) }),
    });
    if (channel.isClosed || abortsIdleTransactions) {
      endIfIdle(channel);
    }
    const channels = streams.get(stream);
    if (
      !channel.checkout && channel.pendingCount === 0 &&
      channels?.get(msg.channel) === channel
    ) {
      channels.delete(msg.channel);
    }
  }

  /** Whether the channel's transaction must end for an evacuation. */
  function mustEnd({ checkout }: Channel): boolean {
    return checkout !== undefined &&
      ctx.eligibility.mustEndTransactions(checkout.target);
  }

  function endIfIdle(channel: Channel): void {
    if (channel.pendingCount === 0) {
      unbind(channel, false);
    }
  }

  /** Ends a channel; a command at work loses its connection. */
  function closeChannel(channel: Channel): void {
    channel.isClosed = true;
    channel.waiting?.abort();
    unbind(channel, false);
  }

  function listChannels(): Channel[] {
    return [...streams.values()].flatMap((channels) => [...channels.values()]);
  }

  return {
    accept(from, stream) {
      const channels = new Map<number, Channel>();
      streams.set(stream, channels);
      ctx.io.log.info("forwarding_host_connected", { peer: from });
      if (isLeaving) {
        stream.send({ kind: "leaving" });
      }
      return {
        onMessage(msg) {
          if (msg.kind === "close") {
            const channel = channels.get(msg.channel);
            if (msg.ifUnsent) {
              channel?.waiting?.abort();
            } else if (channel) {
              closeChannel(channel);
              if (channel.pendingCount === 0) {
                channels.delete(msg.channel);
              }
            }
            return;
          }
          const known = channels.get(msg.channel);
          if (!known && channels.size >= MAX_CHANNELS_PER_STREAM) {
            const reply = createRefusal("not_sent", "too many channels");
            stream.send({ kind: "reply", id: msg.id, reply });
            return;
          }
          const channel = known ?? {
            checkout: undefined,
            tail: Promise.resolve(),
            pendingCount: 0,
            isClosed: false,
            waiting: undefined,
          };
          channels.set(msg.channel, channel);
          channel.pendingCount++;
          channel.tail = channel.tail.then(() => run(stream, channel, msg));
        },
        onClose(detail) {
          ctx.io.log.info("forwarding_host_lost", {
            peer: from,
            detail,
            channels: channels.size,
          });
          streams.delete(stream);
          channels.forEach(closeChannel);
        },
      };
    },
    countChannels: () => listChannels().length,
    announceLeaving() {
      isLeaving = true;
      streams.forEach((_, stream) => stream.send({ kind: "leaving" }));
    },
    closeAdmission() {
      isAdmissionOpen = false;
    },
    abortTransactionsWhenIdle() {
      abortsIdleTransactions = true;
      listChannels().forEach(endIfIdle);
    },
    abortEvacuatedTransactions: () =>
      listChannels().filter(mustEnd).forEach(endIfIdle),
    stop() {
      if (isStopped) {
        return;
      }
      isStopped = true;
      isAdmissionOpen = false;
      streams.forEach((_, stream) => stream.close());
    },
  };
}

function getContext({ variables, prepared }: ForwardRun): RequiredContext {
  return {
    variables: new Map(variables?.map(({ name, value }) => [name, value])),
    prepared,
  };
}

function toCommand(
  checkout: Checkout,
  { command, prepared }: ForwardRun,
): TargetCommand {
  if (command.kind !== "execute") {
    return command;
  }
  const name = prepared
    ? getPreparedName(checkout.pooled.context, prepared)
    : "";
  return { ...command, name };
}

function toForwardedReply(reply: TargetReply): ForwardedReply {
  if (reply.kind === "lost") {
    return { kind: "lost", detail: reply.detail };
  }
  const { position: optionalPosition, ...rest } = reply;
  const position = optionalPosition ? { position: optionalPosition } : {};
  return rest.kind === "done"
    ? { ...rest, ...position, rows: [...rest.rows] }
    : { ...rest, ...position };
}

/** Removes what hosts of earlier versions reject. */
function withoutLoadFields(reply: ForwardedReply): ForwardedReply {
  if (reply.kind !== "error") {
    return reply;
  }
  const { retryAfterMs: _, ...rest } = reply;
  return rest;
}

function createRefusal(code: TargetErrCode, detail: string): ForwardedReply {
  return { kind: "error", code, detail, state: "idle" };
}
