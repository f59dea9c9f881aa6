/** The connections of this host to one target. */

import { nowMs } from "../core/clock.ts";
import type { WorkspaceId } from "../core/ids.ts";
import {
  type ContextNeed,
  countCommands,
  createLinkContext,
  type LinkContext,
} from "./link_context.ts";
import type { DialErr, PoolIo, TargetLink, TargetRecord } from "./types.ts";
import type { Health } from "./health.ts";
import type { Result } from "ts-results-es";

/** Time to open a connection, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/** Pause of dialing after the target refused a further connection. */
const FULL_PAUSE_MS = 150;
/**
 * Part of this host's connections that stay open while idle. A target keeps
 * those of a host that lost power for seconds, and the rest is what the
 * restarted host gets meanwhile.
 */
const KEPT_PART = 0.4;

/** A pooled connection; it belongs to one workspace from its start. */
export interface PooledLink {
  readonly link: TargetLink;
  readonly context: LinkContext;
  usedAt: number;
  isBusy: boolean;
}

/** How a connection can be had. */
export type Option =
  | { readonly kind: "idle"; readonly pooled: PooledLink }
  | { readonly kind: "dial" }
  /** Close an idle connection of another workspace, then dial. */
  | { readonly kind: "replace"; readonly pooled: PooledLink };

/** Connections to one target. */
export interface TargetPool {
  readonly target: TargetRecord;
  /** How a connection for the workspace can be had now; undefined if none. */
  tryOption(need: LinkNeed): Option | undefined;
  take(pooled: PooledLink): void;
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
  trim(pooled: PooledLink): void;
  close(): void;
}

/** What a user of a connection needs. */
export interface LinkNeed {
  /** Undefined if a connection of any workspace will do. */
  readonly workspace: WorkspaceId | undefined;
  readonly context: ContextNeed | undefined;
}

/** Creates an empty pool. */
export function createTargetPool(
  io: Pick<PoolIo, "dialer" | "log" | "metrics">,
  options: { readonly target: TargetRecord; readonly health: Health },
): TargetPool {
  const { target, health } = options;
  const links = new Set<PooledLink>();
  let opening = 0;
  let cap = 1;
  let fullUntil = -Infinity;
  let isClosed = false;

  /** Notes what goes out and what is heard. */
  function watch(link: TargetLink): TargetLink {
    return {
      ...link,
      async send(command) {
        const sent = health.noteSent(target.id);
        const reply = await link.send(command);
        sent.end(reply.kind !== "lost");
        return reply;
      },
    };
  }

  function drop(pooled: PooledLink): void {
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

  function tryOption({ workspace, context }: LinkNeed): Option | undefined {
    const idle = listIdle();
    const own = workspace
      ? idle.filter(({ link }) => link.workspace === workspace)
      : idle;
    const best = pickCheapest(own, context);
    if (best) {
      return { kind: "idle", pooled: best };
    }
    if (nowMs() < fullUntil) {
      return undefined;
    }
    if (links.size + opening < cap) {
      return { kind: "dial" };
    }
    const oldest = idle.sort((a, b) => a.usedAt - b.usedAt)[0];
    return oldest && { kind: "replace", pooled: oldest };
  }

  return {
    target,
    tryOption,
    take(pooled) {
      pooled.isBusy = true;
      pooled.usedAt = nowMs();
    },
    async dial(workspace, replaced) {
      if (replaced) {
        drop(replaced);
      }
      opening++;
      io.metrics.count("target_dials_total", { target: target.id });
      const dialed = await io.dialer.dial(target, {
        workspace,
        timeoutMs: DIAL_TIMEOUT_MS,
      });
      opening--;
      if (dialed.isErr()) {
        if (dialed.error.code === "too_many_connections") {
          fullUntil = nowMs() + FULL_PAUSE_MS;
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
          link: watch(link),
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
        drop(pooled);
      }
    },
    countBusy: () => [...links].filter(({ isBusy }) => isBusy).length + opening,
    countOpen: () => links.size + opening,
    setCap(next) {
      cap = next;
      const excess = links.size + opening - cap;
      listIdle().sort((a, b) => a.usedAt - b.usedAt)
        .slice(0, Math.max(0, excess)).forEach(drop);
    },
    trim(pooled) {
      const kept = Math.max(1, Math.floor(cap * KEPT_PART));
      if (!pooled.isBusy && links.size > kept && links.has(pooled)) {
        drop(pooled);
      }
    },
    close() {
      isClosed = true;
      [...links].forEach(drop);
    },
  };
}

/** The connection that needs the fewest commands for the context. */
function pickCheapest(
  links: readonly PooledLink[],
  context: ContextNeed | undefined,
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
