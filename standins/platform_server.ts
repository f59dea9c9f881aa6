/** Serves the platform stand-in over HTTP, with faults set at run time. */

import type { IncomingMessage, Server } from "node:http";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { sleep } from "../src/core/clock.ts";
import type { WatchRes } from "../src/core/types.ts";
import { createPlatformCore, type PlatformCore } from "./platform_core.ts";
import { createJsonServer, type JsonAnswer, readJson } from "./serve.ts";

/** How the platform misbehaves. */
export interface PlatformFaults {
  /** Every call fails. */
  readonly down?: boolean;
  /** Each answer is held back, in milliseconds. */
  readonly slowMs?: number;
  /** Changes take effect but their answers are lost. */
  readonly loseAnswers?: boolean;
}

/** Creates the server of an empty platform. */
export function createPlatformServer(): Server {
  const core = createPlatformCore();
  const calls = new Map<string, number>();
  let faults: PlatformFaults = {};

  async function serve(url: URL, req: IncomingMessage): Promise<JsonAnswer> {
    const query = url.searchParams;
    if (url.pathname === "/list") {
      return { body: core.list(query.get("prefix") ?? "") };
    }
    if (url.pathname === "/watch") {
      const body = await waitForChange(core, {
        prefix: query.get("prefix") ?? "",
        after: Number(query.get("after")),
        waitMs: Number(query.get("waitMs")),
      });
      return { body };
    }
    const key = asId<ObjectKey>(url.pathname.replace("/objects/", ""));
    if (req.method !== "PUT") {
      return { body: core.get(key) };
    }
    const ifVersion = Number(query.get("ifVersion"));
    const res = core.put(key, await readJson(req), { ifVersion });
    if (res.isOk()) {
      return { body: res.value };
    }
    return res.error.kind === "conflict"
      ? { status: 409, body: res.error.current }
      : { status: 400, body: res.error };
  }

  return createJsonServer(async (url, req) => {
    if (url.pathname === "/control/faults") {
      faults = (await readJson(req) ?? {}) as PlatformFaults;
      return { body: faults };
    }
    if (url.pathname === "/control/calls") {
      return { body: Object.fromEntries(calls) };
    }
    const caller = `${req.headers["x-caller"] ?? "unknown"}`;
    calls.set(caller, (calls.get(caller) ?? 0) + 1);
    if (faults.down) {
      return { status: 503, body: null };
    }
    await sleep(faults.slowMs ?? 0);
    const answer = await serve(url, req);
    return faults.loseAnswers || faults.down
      ? { status: 503, body: null }
      : answer;
  });
}

/** Waits until something under the prefix changes, or the time is over. */
export function waitForChange(
  core: PlatformCore,
  options: {
    readonly prefix: string;
    readonly after: number;
    readonly waitMs: number;
  },
): Promise<WatchRes> {
  const { prefix, after, waitMs } = options;
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(), waitMs);
    const unsubscribe = core.onChange(() => {
      if (core.changesAfter(prefix, after).objects.length > 0) {
        finish();
      }
    });
    function finish(): void {
      clearTimeout(timer);
      unsubscribe();
      resolve(core.changesAfter(prefix, after));
    }
    if (core.changesAfter(prefix, after).objects.length > 0) {
      finish();
    }
  });
}
