/**
 * Uses connections that other hosts hold: a statement is sent to a holder near
 * its target, which runs it on a connection of the workspace that it has open.
 * Pattern: connection multiplexing over one stream for each pair of hosts.
 */

import { nowMs } from "../core/clock.ts";
import { assertNever } from "../core/errors.ts";
import type { HostId, TargetId, WorkspaceId } from "../core/ids.ts";
import { getBackoffMs } from "../core/retry_delay.ts";
import type { Stoppable } from "../core/types.ts";
import type {
  ForwardCommand,
  ForwardedReply,
  ForwardVariable,
} from "../generated/pool_forward.ts";
import type { Health } from "./health.ts";
import { type Holders, HOLDERS_PER_TARGET } from "./holders.ts";
import { type AgedWait, createWaitReports } from "./wait_reports.ts";
import { createPathHealth } from "./path_health.ts";
import type {
  ForwardRequest,
  HostStream,
  PoolIo,
  PreparedStatement,
  TargetCommand,
  TargetLink,
  TargetRecord,
  TargetReply,
  TransactionState,
} from "./types.ts";

/** Time to open a stream to another host, in milliseconds. */
const OPEN_TIMEOUT_MS = 700;
/** Bounds of the delay before a stream that failed is opened again. */
const MIN_REOPEN_DELAY_MS = 200;
const MAX_REOPEN_DELAY_MS = 3_000;
/** Time without a sign of life after which a host is asked for one. */
const PING_AFTER_MS = 200;
/** Time without a sign of life after which a host gets no new statements. */
const SILENT_AFTER_MS = 600;
/**
 * Time without a sign of life after which commands are given up, and with the
 * last of them the stream. Those that would be in doubt wait for a late reply
 * until their statement times out.
 */
const GIVE_UP_AFTER_MS = 3_000;
/** Maximum number of commands without a reply on one stream. */
const MAX_PENDING_COMMANDS = 400;
/**
 * Expected wait at a holder from which another one is considered, in
 * milliseconds: a few times what a new connection costs there.
 */
const MAX_HOLDER_WAIT_MS = 40;

/** Requirements on a forwarded connection. */
export interface ForwardOptions {
  readonly workspace: WorkspaceId | undefined;
  readonly priority: number;
  /** Time until which the holder may wait, on the monotonic clock. */
  readonly deadline: number;
  /** Whether the host may be used as holder; all by default. */
  mayUseHolder?: ((host: HostId) => boolean) | undefined;
  /** Aborted when the client leaves: what is not sent yet is given up. */
  readonly signal?: AbortSignal | undefined;
}

/** Provides connections that other hosts hold. */
export interface Forwarder extends Stoppable {
  /**
   * Records that a command got no reply from the target over the connections
   * of `holder`, by default this host's own.
   */
  recordPathFailure(target: TargetId, holder?: HostId): void;
  recordPathSuccess(target: TargetId, holder?: HostId): void;
  /** Whether the target cannot be reached over this host's connections. */
  isOwnPathDown(target: TargetId): boolean;
  /** Whether a path that has failed should be probed. */
  isProbeDue(target: TargetRecord): boolean;
  removeTarget(target: TargetId): void;
  /** Whether commands to the target would be forwarded now. */
  isForwarded(
    target: TargetRecord,
    options: Pick<ForwardOptions, "workspace" | "mayUseHolder">,
  ): boolean;
  /**
   * Returns the wait for a slot that the holder has reported; undefined without
   * a recent report.
   */
  tryGetWait(
    target: TargetRecord,
    options: Pick<ForwardOptions, "workspace" | "priority">,
  ): AgedWait | undefined;
  /** Whether any holder has reported a wait for a slot. */
  hasWaits(): boolean;
  /** Undefined if this host should use its own connections. */
  tryOpenLink(
    target: TargetRecord,
    options: ForwardOptions,
  ): TargetLink | undefined;
  /** Pings hosts that are silent and gives up streams; call it periodically. */
  checkStreams(): void;
}

interface PendingCommand {
  readonly channel: number;
  readonly target: TargetId;
  readonly workspace: WorkspaceId | undefined;
  /** Whether it is not known without a reply what the command has done. */
  readonly isInDoubtIfLost: boolean;
  /** Whether the statement has not timed out yet. */
  isAwaited(): boolean;
  /** Sends the command; called once the stream is open. */
  send(): void;
  resolve(reply: TargetReply): void;
}

/** Stream to a holder, with the commands that have no reply yet. */
interface HolderStream {
  readonly host: HostId;
  readonly stream: HostStream<ForwardRequest>;
  readonly pending: Map<number, PendingCommand>;
  openedAt: number | undefined;
  readonly createdAt: number;
  heardAt: number;
  /** Time of the last message or sign of life; -Infinity without one. */
  lastSignAt: number;
  pingedAt: number;
  isLeaving: boolean;
  isClosed: boolean;
  nextChannel: number;
  nextId: number;
}

interface Backoff {
  /** Number of consecutive failures. */
  readonly failures: number;
  readonly until: number;
}

/** Creates a forwarder without streams. */
export function createForwarder(
  io: Pick<PoolIo, "streams" | "log" | "metrics" | "random">,
  options: {
    readonly self: HostId;
    readonly holders: Holders;
    readonly health: Health;
  },
): Forwarder {
  const { self, holders, health } = options;
  const paths = createPathHealth();
  const waits = createWaitReports();
  const holderStreams = new Map<HostId, HolderStream>();
  const backoffs = new Map<HostId, Backoff>();
  let isStopped = false;

  function isSilent(holderStream: HolderStream): boolean {
    return holderStream.pending.size > 0 &&
      nowMs() - holderStream.heardAt > SILENT_AFTER_MS;
  }

  function isUsable(host: HostId): boolean {
    const holderStream = holderStreams.get(host);
    // A stream that was lost is opened again before a statement relies on it.
    if (backoffs.has(host)) {
      return false;
    }
    if (!holderStream) {
      return true;
    }
    return !holderStream.isLeaving && !isSilent(holderStream) &&
      holderStream.pending.size < MAX_PENDING_COMMANDS;
  }

  function isOwnPathDown(target: TargetId): boolean {
    return paths.isDown({ target, holder: self }) || health.isSilent(target);
  }

  function isPathUsable(target: TargetId, holder: HostId): boolean {
    return holder === self
      ? !isOwnPathDown(target)
      : isUsable(holder) && !paths.isDown({ target, holder });
  }

  /** Returns the holder to use; undefined if it is this host or none. */
  function tryFindHolder(
    target: TargetRecord,
    { workspace, mayUseHolder }: Pick<
      ForwardOptions,
      "workspace" | "mayUseHolder"
    >,
  ): HostId | undefined {
    if (isStopped) {
      return undefined;
    }
    const ranked = holders.list(target, workspace).filter((holder) =>
      holder === self || mayUseHolder?.(holder) !== false
    );
    const host = ranked.find((holder) =>
      workspace === undefined &&
      paths.isProbeDue({ target: target.id, holder })
    ) ?? ranked.find((holder) => isPathUsable(target.id, holder)) ??
      ranked.find((holder) => holder === self || isUsable(holder));
    return host === self ? undefined : host;
  }

  /**
   * Opens the streams to holders that were lost and would be used before the
   * chosen one, so that no statement has to wait for an attempt that may fail.
   */
  function reopenPreferredStreams(
    target: TargetRecord,
    options: {
      readonly workspace: WorkspaceId | undefined;
      readonly chosen: HostId | undefined;
    },
  ): void {
    for (const holder of holders.list(target, options.workspace)) {
      if (holder === (options.chosen ?? self)) {
        return;
      }
      const backoff = backoffs.get(holder);
      if (
        holder !== self && backoff && nowMs() >= backoff.until &&
        !holderStreams.has(holder)
      ) {
        openStream(holder);
      }
    }
  }

  /**
   * Returns the holder to use for a statement. Where the workspace's own holder
   * expects a long wait and another one a much shorter one, half of the
   * statements go there: the slots of all holders are used, and hosts with the
   * same reports do not move together.
   */
  function tryChooseHolder(
    target: TargetRecord,
    options: ForwardOptions,
  ): HostId | undefined {
    const { workspace, priority, mayUseHolder } = options;
    const first = tryFindHolder(target, options);
    const getWaitMs = (holder: HostId) =>
      waits.tryGet({ holder, target: target.id, workspace }, priority)
        ?.waitMs ?? 0;
    const firstWaitMs = first ? getWaitMs(first) : 0;
    if (!first || firstWaitMs <= MAX_HOLDER_WAIT_MS) {
      return first;
    }
    const other = holders.list(target, workspace).slice(0, HOLDERS_PER_TARGET)
      .find((holder) =>
        holder !== first && holder !== self &&
        mayUseHolder?.(holder) !== false && isPathUsable(target.id, holder) &&
        getWaitMs(holder) < firstWaitMs / 2
      );
    return other && io.random() < 0.5 ? other : first;
  }

  function getStream(host: HostId): HolderStream {
    return holderStreams.get(host) ?? openStream(host);
  }

  function openStream(host: HostId): HolderStream {
    const now = nowMs();
    const holderStream: HolderStream = {
      host,
      stream: io.streams.open(host, {
        onOpen() {
          holderStream.openedAt = nowMs();
          holderStream.heardAt = nowMs();
          backoffs.delete(host);
          io.log.info("holder_connected", { holder: host });
          [...holderStream.pending.values()].forEach((command) =>
            command.send()
          );
        },
        onMessage(msg) {
          recordSign(holderStream);
          switch (msg.kind) {
            case "reply": {
              const command = holderStream.pending.get(msg.id);
              holderStream.pending.delete(msg.id);
              if (command) {
                const { target, workspace } = command;
                waits.record(
                  { holder: host, target, workspace },
                  msg.waits ?? [],
                );
              }
              command?.resolve(toTargetReply(msg.reply));
              return;
            }
            case "leaving":
              holderStream.isLeaving = true;
              io.log.info("holder_leaving", { holder: host });
              return;
            case "store_reply":
            case "reader_changes":
            case "reader_ages":
              // This stream carries no calls to the store.
              io.log.info("store_reply_unexpected", { holder: host });
              return;
            default:
              assertNever(msg);
          }
        },
        onAlive: () => recordSign(holderStream),
        onClose: (detail) => closeStream(holderStream, detail),
      }),
      pending: new Map(),
      openedAt: undefined,
      createdAt: now,
      heardAt: now,
      lastSignAt: -Infinity,
      pingedAt: now,
      isLeaving: false,
      isClosed: false,
      nextChannel: 0,
      nextId: 0,
    };
    holderStreams.set(host, holderStream);
    return holderStream;
  }

  function recordSign(holderStream: HolderStream): void {
    holderStream.heardAt = nowMs();
    holderStream.lastSignAt = nowMs();
  }

  function closeStream(holderStream: HolderStream, detail: string): void {
    if (holderStream.isClosed) {
      return;
    }
    holderStream.isClosed = true;
    const { host, pending } = holderStream;
    const wasOpen = holderStream.openedAt !== undefined;
    if (holderStreams.get(host) === holderStream) {
      holderStreams.delete(host);
    }
    const failures = backoffs.get(host)?.failures ?? 0;
    const delayMs = getBackoffMs(failures, {
      minMs: MIN_REOPEN_DELAY_MS,
      maxMs: MAX_REOPEN_DELAY_MS,
    });
    backoffs.set(host, { failures: failures + 1, until: nowMs() + delayMs });
    io.log.info("holder_lost", {
      holder: host,
      detail,
      wasOpen,
      pending: pending.size,
      retryInMs: delayMs,
    });
    const text = `the link to host ${host} was lost: ${detail}`;
    const commands = [...pending.values()];
    pending.clear();
    for (const { resolve } of commands) {
      resolve(
        wasOpen ? { kind: "lost", detail: text } : createNotSent(text),
      );
    }
    holderStream.stream.close();
  }

  /** Gives up commands, and the stream unless one of them may still wait. */
  function giveUp(holderStream: HolderStream, detail: string): void {
    const { pending, stream } = holderStream;
    const mayWait = (command: PendingCommand) =>
      command.isInDoubtIfLost && command.isAwaited();
    if (![...pending.values()].some(mayWait)) {
      closeStream(holderStream, detail);
      return;
    }
    for (const [id, command] of [...pending]) {
      if (!mayWait(command)) {
        pending.delete(id);
        stream.send({ kind: "close", channel: command.channel });
        command.resolve({ kind: "lost", detail });
      }
    }
  }

  function checkStreams(): void {
    const now = nowMs();
    for (const holderStream of [...holderStreams.values()]) {
      if (holderStream.openedAt === undefined) {
        if (now - holderStream.createdAt > OPEN_TIMEOUT_MS) {
          closeStream(holderStream, `not open after ${OPEN_TIMEOUT_MS} ms`);
        }
        continue;
      }
      const silentMs = now - holderStream.heardAt;
      if (holderStream.pending.size === 0) {
        continue;
      }
      if (silentMs > GIVE_UP_AFTER_MS) {
        giveUp(holderStream, `no sign of life for ${Math.round(silentMs)} ms`);
      }
      if (
        !holderStream.isClosed && silentMs > PING_AFTER_MS &&
        now - holderStream.pingedAt > PING_AFTER_MS
      ) {
        ping(holderStream);
      }
    }
  }

  function ping(holderStream: HolderStream): void {
    if (!holderStream.isClosed && holderStream.openedAt !== undefined) {
      holderStream.pingedAt = nowMs();
      holderStream.stream.ping();
    }
  }

  /** Sends a command over a stream and resolves with the target's reply. */
  function sendCommand(
    holderStream: HolderStream,
    { createMessage, ...command }:
      & Pick<
        PendingCommand,
        "channel" | "target" | "workspace" | "isInDoubtIfLost" | "isAwaited"
      >
      & { createMessage(id: number): ForwardRequest },
  ): Promise<TargetReply> {
    if (holderStream.isClosed) {
      return Promise.resolve(createNotSent("the link to the holder is closed"));
    }
    return new Promise((resolve) => {
      const id = holderStream.nextId++;
      if (holderStream.pending.size === 0) {
        holderStream.heardAt = nowMs();
      }
      const send = () => holderStream.stream.send(createMessage(id));
      holderStream.pending.set(id, { ...command, send, resolve });
      if (holderStream.openedAt !== undefined) {
        send();
      }
    });
  }

  function createLink(
    holderStream: HolderStream,
    target: TargetRecord,
    { workspace, priority, deadline, signal }: ForwardOptions,
  ): TargetLink {
    const channel = holderStream.nextChannel++;
    const variables = new Map<string, string>();
    const prepared = new Map<string, PreparedStatement>();
    let state: TransactionState = "idle";
    let pendingCount = 0;
    let isClosed = false;

    async function forward(
      command: ForwardCommand,
      statement?: PreparedStatement,
    ): Promise<TargetReply> {
      const isFirst = state === "idle" && pendingCount === 0;
      pendingCount++;
      io.metrics.count("forwarded_commands_total", { command: command.kind });
      const createMessage = (id: number): ForwardRequest => ({
        kind: "run",
        id,
        channel,
        target: target.id,
        incarnation: target.incarnation,
        priority,
        waitMs: Math.max(0, deadline - nowMs()),
        isFirst,
        command,
        ...(workspace === undefined ? {} : { workspace }),
        ...(variables.size > 0
          ? { variables: [...variables].map(toVariable) }
          : {}),
        ...(statement ? { prepared: statement } : {}),
      });
      const reply = await sendCommand(holderStream, {
        channel,
        target: target.id,
        workspace,
        isInDoubtIfLost: command.kind === "commit" ||
          (state === "idle" &&
            (command.kind === "run" || command.kind === "execute")),
        isAwaited: () => !isClosed,
        createMessage,
      });
      pendingCount--;
      if (reply.kind === "lost") {
        isClosed = true;
      } else {
        state = reply.state;
      }
      if (reply.kind === "error" && reply.code === "target_down") {
        paths.recordFailure({ target: target.id, holder: holderStream.host });
      }
      return reply;
    }

    function answerLocally(): Promise<TargetReply> {
      return Promise.resolve({
        kind: "done",
        rows: [],
        signature: "-",
        state,
        position: undefined,
      });
    }

    function send(command: TargetCommand): Promise<TargetReply> {
      if (isClosed || holderStream.isClosed) {
        return Promise.resolve({ kind: "lost", detail: "closed before" });
      }
      // Variables and prepared statements go along with the next command, so
      // that the holder can choose any of its connections.
      switch (command.kind) {
        case "set":
          variables.set(command.name, command.value);
          return answerLocally();
        case "prepare":
          prepared.set(command.name, command.prepared);
          return answerLocally();
        case "reset":
          variables.clear();
          prepared.clear();
          return answerLocally();
        case "execute": {
          const { name, ...rest } = command;
          return forward(rest, prepared.get(name));
        }
        case "pause":
        case "resume":
        case "step_down":
          return Promise.resolve(
            createNotSent(`${command.kind} is not forwarded`),
          );
        default:
          return forward(command);
      }
    }

    /** Gives up what waits at the holder; what the target has goes on. */
    function giveUpUnsent(): void {
      const { stream, openedAt, pending } = holderStream;
      if (openedAt === undefined) {
        for (const [id, command] of [...pending]) {
          if (command.channel === channel) {
            pending.delete(id);
            command.resolve(createNotSent("the client has left"));
          }
        }
      } else if (pendingCount > 0 && stream.acceptsLoadFields?.()) {
        stream.send({ kind: "close", channel, ifUnsent: true });
      }
    }
    signal?.addEventListener("abort", giveUpUnsent);

    return {
      target,
      workspace,
      holder: holderStream.host,
      isOpen: () => !isClosed && !holderStream.isClosed,
      wasHolderHeardAfter: (time) =>
        !holderStream.isClosed && holderStream.lastSignAt > time,
      pingHolder: () => ping(holderStream),
      send,
      close() {
        const isUsed = pendingCount > 0 || state !== "idle";
        if (!isClosed && isUsed && holderStream.openedAt !== undefined) {
          holderStream.stream.send({ kind: "close", channel });
        }
        signal?.removeEventListener("abort", giveUpUnsent);
        isClosed = true;
      },
    };
  }

  return {
    recordPathFailure: (target, holder = self) =>
      paths.recordFailure({ target, holder }),
    recordPathSuccess: (target, holder = self) =>
      paths.recordSuccess({ target, holder }),
    isOwnPathDown,
    isProbeDue: (target) =>
      paths.hasDownPath(target.id) &&
      holders.list(target, undefined).some((holder) =>
        paths.isProbeDue({ target: target.id, holder })
      ),
    removeTarget: paths.removeTarget,
    tryGetWait(target, options) {
      const { workspace, priority } = options;
      const holder = tryFindHolder(target, options);
      return holder &&
        waits.tryGet({ holder, target: target.id, workspace }, priority);
    },
    hasWaits: () => !waits.isEmpty(),
    isForwarded: (target, findOptions) =>
      tryFindHolder(target, findOptions) !== undefined,
    tryOpenLink(target, linkOptions) {
      const host = tryChooseHolder(target, linkOptions);
      reopenPreferredStreams(target, { ...linkOptions, chosen: host });
      return host && createLink(getStream(host), target, linkOptions);
    },
    checkStreams,
    stop() {
      isStopped = true;
      [...holderStreams.values()].forEach((holderStream) =>
        closeStream(holderStream, "this host stops")
      );
    },
  };
}

function toVariable(
  [name, value]: readonly [string, string],
): ForwardVariable {
  return { name, value };
}

function toTargetReply(reply: ForwardedReply): TargetReply {
  return reply.kind === "lost" ? reply : { position: undefined, ...reply };
}

function createNotSent(detail: string): TargetReply {
  return {
    kind: "error",
    code: "not_sent",
    detail,
    state: "idle",
    position: undefined,
  };
}
