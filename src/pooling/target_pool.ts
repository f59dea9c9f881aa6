/** The connections of this host to one target. */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import {
  countCommands,
  createLinkContext,
  type LinkContext,
  type RequiredContext,
} from "./link_context.ts";
import type { DialErr, PoolIo, TargetLink, TargetRecord } from "./types.ts";
import type { Health } from "./health.ts";
import type { Result } from "ts-results-es";

/** Time to open a connection, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/** Pause of dialing after the target refused a further connection. */
const DIAL_BACKOFF_MS = 150;
/**
 * Part of this host's connections that stay open while idle. A target keeps
 * those of a host that lost power for seconds, and the rest is what the
 * restarted host gets meanwhile.
 */
const IDLE_KEEP_FRACTION = 0.4;

/** A pooled connection; it belongs to one workspace from its start. */
export interface PooledLink {
  readonly link: TargetLink;
  readonly context: LinkContext;
  usedAt: number;
  isBusy: boolean;
}

/** How a connection can be had. */
export type LinkSource =
  | { readonly kind: "idle"; readonly pooled: PooledLink }
  | { readonly kind: "dial" }
  /** Close an idle connection of another workspace, then dial. */
  | { readonly kind: "replace"; readonly pooled: PooledLink };

/** Connections to one target. */
export interface TargetPool {
  readonly target: TargetRecord;
  /** How a connection for the workspace can be had now; undefined if none. */
  tryFindSource(requirement: LinkRequirement): LinkSource | undefined;
  markBusy(pooled: PooledLink): void;
  dial(
    workspace: WorkspaceId,
    replaced?: PooledLink,
  ): Promise<Result<PooledLink, DialErr>>;
  /** Puts a connection back, or drops it unless it is open and clean. */
  release(pooled: PooledLink, isClean: boolean): void;
  countBusy(): number;
  countOpen(): number;
  setCap(cap: number): void;
  /** Closes a connection that nobody took and that is not to be kept. */
  closeIfSurplus(pooled: PooledLink): void;
  close(): void;
}

/** What a user of a connection needs. */
export interface LinkRequirement {
  /** Undefined if a connection of any workspace will do. */
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
  let dialBlockedUntil = -Infinity;
  let isClosed = false;

  /** Notes what goes out and what is heard. */
  function trackHealth(link: TargetLink): TargetLink {
    return {
      ...link,
      async send(command) {
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
    const idle = listIdle();
    const own = workspace
      ? idle.filter(({ link }) => link.workspace === workspace)
      : idle;
    const best = pickCheapest(own, context);
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
    tryFindSource: tryFindSource,
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
          link: trackHealth(link),
          context: createLinkContext(),
          usedAt: nowMs(),
          isBusy: true,
        };
        if (isClosed) {
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
      if (!isClean || isClosed || links.size > cap || !pooled.link.isOpen()) {
        discard(pooled);
      }
    },
    countBusy: () =>
      [...links].filter(({ isBusy }) => isBusy).length + dialingCount,
    countOpen: () => links.size + dialingCount,
    setCap(newCap) {
      cap = newCap;
      const excess = links.size + dialingCount - cap;
      listIdle().sort((a, b) => a.usedAt - b.usedAt)
        .slice(0, Math.max(0, excess)).forEach(discard);
    },
    closeIfSurplus(pooled) {
      const keepCount = Math.max(1, Math.floor(cap * IDLE_KEEP_FRACTION));
      if (!pooled.isBusy && links.size > keepCount && links.has(pooled)) {
        discard(pooled);
      }
    },
    close() {
      isClosed = true;
      [...links].forEach(discard);
    },
  };
}

/** The connection that needs the fewest commands for the context. */
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
