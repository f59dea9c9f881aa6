/** Serves the platform stand-in over HTTP; faults are set at run time. */

import type { IncomingMessage, Server } from "node:http";
import { asId, type ObjectKey } from "../src/core/ids.ts";
import { sleep } from "../src/core/clock.ts";
import type { Result } from "ts-results-es";
import type { PlatformErr, StoredObject, WatchRes } from "../src/core/types.ts";
import {
  createPlatformCore,
  type PlatformCopy,
  type PlatformCore,
} from "./platform_core.ts";
import { createJsonServer, type JsonResponse, readJson } from "./serve.ts";

/** Faults injected into the platform. */
export interface PlatformFaults {
  /** Every call fails with status 503. */
  readonly down?: boolean;
  /** Delay of each call, in milliseconds. */
  readonly slowMs?: number;
  /** Changes take effect, but the caller gets status 503. */
  readonly loseAnswers?: boolean;
}

/** Kinds of the objects that the operator and the targets write. */
const EXTERNAL_KINDS = ["config/", "servers/"];

/** Object in the wire format. */
interface WireObject {
  readonly meta: { readonly name: string; readonly rev?: number };
  readonly spec: unknown;
}

function toWire({ key, version, value }: StoredObject): WireObject {
  const name = key.slice(key.indexOf("/") + 1);
  return { meta: { name, rev: version }, spec: value };
}

/** Creates the server of a platform; it has no objects unless `core` has. */
export function createPlatformServer(
  core: PlatformCore = createPlatformCore(),
): Server {
  const callCounts = new Map<string, number>();
  let faults: PlatformFaults = {};
  let copy: PlatformCopy = core.takeCopy();

  async function handleRequest(
    url: URL,
    req: IncomingMessage,
  ): Promise<JsonResponse> {
    const [kind = "", name] = url.pathname.replace("/objects/", "")
      .split("/").map(decodeURIComponent);
    const prefix = `${kind}/`;
    if (req.method === "POST" || req.method === "PUT") {
      return await putObject(prefix, req);
    }
    if (name !== undefined) {
      const object = core.get(asId<ObjectKey>(prefix + name));
      return object.version === 0
        ? { status: 404, body: null }
        : { body: toWire(object) };
    }
    const after = url.searchParams.get("watch");
    if (after === null) {
      const { revision, objects } = core.list(prefix);
      const items = objects.map(toWire);
      return { body: { items, truncated: false, currentRev: revision } };
    }
    const changes = await waitForChange(core, {
      prefix,
      after: Number(after),
      waitMs: Number(url.searchParams.get("waitMs")),
    });
    if (changes.isErr()) {
      return { status: 410, body: null };
    }
    const { revision, objects } = changes.value;
    const events = objects.map((object) => ({
      object: toWire(object),
      deleted: object.version === 0,
    }));
    return { body: { events, currentRev: revision } };
  }

  /** Creates or replaces an object; answers 409 if its revision is outdated. */
  async function putObject(
    prefix: string,
    req: IncomingMessage,
  ): Promise<JsonResponse> {
    const { meta, spec } = await readJson(req) as WireObject;
    const key = asId<ObjectKey>(prefix + meta.name);
    const res = core.put(key, spec, { ifVersion: meta.rev ?? 0 });
    if (res.isOk()) {
      return { body: toWire(res.value) };
    }
    return res.error.kind === "conflict"
      ? { status: 409, body: toWire(res.error.current) }
      : { status: 400, body: res.error };
  }

  async function answerUnlessFaulty(
    url: URL,
    req: IncomingMessage,
  ): Promise<JsonResponse> {
    if (faults.down) {
      return { status: 503, body: null };
    }
    await sleep(faults.slowMs ?? 0);
    const answer = await handleRequest(url, req);
    return faults.loseAnswers || faults.down
      ? { status: 503, body: null }
      : answer;
  }

  return createJsonServer(async (url, req) => {
    if (url.pathname === "/control/faults") {
      faults = (await readJson(req) ?? {}) as PlatformFaults;
      return { body: faults };
    }
    if (url.pathname === "/control/calls") {
      return { body: Object.fromEntries(callCounts) };
    }
    if (url.pathname === "/control/copy") {
      copy = core.takeCopy();
      return { body: null };
    }
    if (url.pathname === "/control/return") {
      core.returnTo(copy, {
        isExternal: (key) =>
          EXTERNAL_KINDS.some((kind) => key.startsWith(kind)),
      });
      return { body: null };
    }
    const caller = `${req.headers["x-caller"] ?? "unknown"}`;
    callCounts.set(caller, (callCounts.get(caller) ?? 0) + 1);
    const answer = await answerUnlessFaulty(url, req);
    return { ...answer, headers: { "store-era": `${core.getEra()}` } };
  });
}

/**
 * Resolves with the changes under `prefix` after revision `after`: once there
 * are any or their history is gone, or with none after `waitMs`.
 */
export function waitForChange(
  core: PlatformCore,
  options: {
    readonly prefix: string;
    readonly after: number;
    readonly waitMs: number;
  },
): Promise<Result<WatchRes, PlatformErr>> {
  const { prefix, after, waitMs } = options;
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(), waitMs);
    const unsubscribe = core.onChange(() => {
      if (hasChanges()) {
        finish();
      }
    });
    function hasChanges(): boolean {
      const changes = core.changesAfter(prefix, after);
      return changes.isErr() || changes.value.objects.length > 0;
    }
    function finish(): void {
      clearTimeout(timer);
      unsubscribe();
      resolve(core.changesAfter(prefix, after));
    }
    if (hasChanges()) {
      finish();
    }
  });
}
