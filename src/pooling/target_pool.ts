/** Pool of this host's connections to one target. */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import {
  countCommands,
  createLinkContext,
  type LinkContext,
  type RequiredContext,
} from "./link_context.ts";
import type {
  ConnectionAllowance,
  DialErr,
  PoolIo,
  TargetCommand,
  TargetLink,
  TargetRecord,
} from "./types.ts";
import type { Health } from "./health.ts";
import type { Result } from "ts-results-es";

/** Time to open a connection, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/**
 * Time without dialing after the target refused a connection, in milliseconds.
 */
const DIAL_BACKOFF_MS = 150;

/** Pooled connection; bound to one workspace for its lifetime. */
export interface PooledLink {
  readonly link: TargetLink;
  readonly context: LinkContext;
  usedAt: number;
  isBusy: boolean;
  /** Called with each statement that is sent; undefined if nobody counts. */
  onStatement?: (() => void) | undefined;
}

/** Way to obtain a connection. */
export type LinkSource =
  | { readonly kind: "idle"; readonly pooled: PooledLink }
  | { readonly kind: "dial" }
  /** Close an idle connection of another workspace, then dial. */
  | { readonly kind: "replace"; readonly pooled: PooledLink };

/** Connections to one target. */
export interface TargetPool {
  readonly target: TargetRecord;
  /** Finds a way to obtain a matching connection now; undefined if none. */
  tryFindSource(requirement: LinkRequirement): LinkSource | undefined;
  markBusy(pooled: PooledLink): void;
  dial(
    workspace: WorkspaceId,
    replaced?: PooledLink,
  ): Promise<Result<PooledLink, DialErr>>;
  /**
   * Returns a connection to the pool; closes it unless it is open and clean.
   */
  release(pooled: PooledLink, isClean: boolean): void;
  countBusy(): number;
  setAllowance(allowance: ConnectionAllowance): void;
  /** Closes an idle connection in excess of those kept open while idle. */
  closeIfSurplus(pooled: PooledLink): void;
  /**
   * Closes idle connections now and busy ones when they are released; none can
   * be obtained until the pool is restored.
   */
  retire(): void;
  /** Allows connections again. */
  restore(): void;
  /** Whether the pool is retired and has no connection left. */
  isAbandoned(): boolean;
  /** Closes all connections, also busy ones. */
  close(): void;
}

/** Requirements on a connection. */
export interface LinkRequirement {
  /** Undefined if a connection of any workspace is accepted. */
  readonly workspace: WorkspaceId | undefined;
  readonly context: RequiredContext | undefined;
}

/** Creates an empty pool. */
export function createTargetPool(
  io: Pick<PoolIo, "dialer" | "log" | "metrics">,
  options: { readonly target: TargetRecord; readonly health: Health },
): TargetPool {
  const { target, health } = options;
  const links = new Set<PooledLink>();
  let dialingCount = 0;
  let cap = 1;
  let idleCap = 1;
  let dialBlockedUntil = -Infinity;
  let isRetired = false;
  let isClosed = false;

  /**
   * Wraps a connection so that sends and replies update the target's health.
   */
  function trackHealth(
    link: TargetLink,
    onStatement: () => void,
  ): TargetLink {
    return {
      ...link,
      async send(command) {
        if (isStatement(command)) {
          onStatement();
        }
        const pendingReply = health.recordSent(target.id);
        const reply = await link.send(command);
        pendingReply.end(reply.kind !== "lost");
        return reply;
      },
    };
  }

  function discard(pooled: PooledLink): void {
    links.delete(pooled);
    pooled.link.close();
  }

  function listIdle(): PooledLink[] {
    const idle: PooledLink[] = [];
    for (const pooled of links) {
      if (!pooled.link.isOpen()) {
        links.delete(pooled);
      } else if (!pooled.isBusy) {
        idle.push(pooled);
      }
    }
    return idle;
  }

  function tryFindSource(
    { workspace, context }: LinkRequirement,
  ): LinkSource | undefined {
    if (isRetired || isClosed) {
      return undefined;
    }
    const idle = listIdle();
    const matching = workspace
      ? idle.filter(({ link }) => link.workspace === workspace)
      : idle;
    const best = pickCheapest(matching, context);
    if (best) {
      return { kind: "idle", pooled: best };
    }
    if (nowMs() < dialBlockedUntil) {
      return undefined;
    }
    if (links.size + dialingCount < cap) {
      return { kind: "dial" };
    }
    const oldest = idle.sort((a, b) => a.usedAt - b.usedAt)[0];
    return oldest && { kind: "replace", pooled: oldest };
  }

  return {
    target,
    tryFindSource,
    markBusy(pooled) {
      pooled.isBusy = true;
      pooled.usedAt = nowMs();
    },
    async dial(workspace, replaced) {
      if (replaced) {
        discard(replaced);
      }
      dialingCount++;
      io.metrics.count("target_dials_total", { target: target.id });
      const dialed = await io.dialer.dial(target, {
        workspace,
        timeoutMs: DIAL_TIMEOUT_MS,
      });
      dialingCount--;
      if (dialed.isErr()) {
        if (dialed.error.code === "too_many_connections") {
          dialBlockedUntil = nowMs() + DIAL_BACKOFF_MS;
        }
        io.log.info("target_dial_failed", {
          target: target.id,
          code: dialed.error.code,
          detail: dialed.error.detail,
        });
        return dialed;
      }
      return dialed.map((link) => {
        const pooled: PooledLink = {
          link: trackHealth(link, () => pooled.onStatement?.()),
          context: createLinkContext(),
          usedAt: nowMs(),
          isBusy: true,
        };
        if (isRetired || isClosed) {
          link.close();
        } else {
          links.add(pooled);
        }
        return pooled;
      });
    },
    release(pooled, isClean) {
      pooled.isBusy = false;
      pooled.usedAt = nowMs();
      const mayStay = isClean && !isRetired && !isClosed &&
        links.size <= cap && pooled.link.isOpen();
      if (!mayStay) {
        discard(pooled);
      }
    },
    countBusy: () =>
      [...links].filter(({ isBusy }) => isBusy).length + dialingCount,
    setAllowance(allowance) {
      ({ cap, idleCap } = allowance);
      const excess = idleCap === 0
        ? links.size
        : links.size + dialingCount - cap;
      listIdle().sort((a, b) => a.usedAt - b.usedAt)
        .slice(0, Math.max(0, excess)).forEach(discard);
    },
    closeIfSurplus(pooled) {
      if (!pooled.isBusy && links.size > idleCap && links.has(pooled)) {
        discard(pooled);
      }
    },
    retire() {
      isRetired = true;
      listIdle().forEach(discard);
    },
    restore: () => void (isRetired = false),
    isAbandoned: () => isRetired && links.size + dialingCount === 0,
    close() {
      isClosed = true;
      [...links].forEach(discard);
    },
  };
}

/** Whether the target runs a statement of a client for the command. */
function isStatement({ kind }: TargetCommand): boolean {
  return kind === "run" || kind === "execute" || kind === "begin" ||
    kind === "commit";
}

/** Whether both records belong to one process of the target. */
export function isSameProcess(a: TargetRecord, b: TargetRecord): boolean {
  return a.incarnation === b.incarnation && a.address === b.address &&
    a.service === b.service;
}

/** Returns the connection that needs the fewest commands for the context. */
function pickCheapest(
  links: readonly PooledLink[],
  context: RequiredContext | undefined,
): PooledLink | undefined {
  let best: PooledLink | undefined;
  let fewest = Infinity;
  for (const pooled of links) {
    const count = context ? countCommands(pooled.context, context) : 0;
    if (count < fewest) {
      best = pooled;
      fewest = count;
    }
  }
  return best;
}
