/** Reaches the object API of the platform over HTTP. */

import { Err, Ok, type Result } from "ts-results-es";
import type {
  MetricsSink,
  PlatformErr,
  PlatformStore,
  StoredObject,
  WatchRes,
} from "../core/types.ts";

const DEFAULT_TIMEOUT_MS = 2_000;

/** Creates a client of the object API at `url`. */
export function createPlatformStore(
  url: string,
  options: {
    readonly caller: string;
    readonly timeoutMs?: number;
    readonly metrics?: MetricsSink;
  },
): PlatformStore {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;

  function countBytes(bytes: number, direction: "in" | "out"): void {
    const labels = { channel: "platform", direction };
    options.metrics?.count("control_messages_total", labels);
    options.metrics?.add("control_bytes_total", bytes, labels);
  }

  async function request<T>(
    path: string,
    init: { readonly put?: unknown; readonly waitMs?: number },
  ): Promise<Result<T, PlatformErr>> {
    const sent = "put" in init ? JSON.stringify(init.put) : "";
    options.metrics?.count("platform_calls_total", {});
    try {
      const res = await fetch(`${url}${path}`, {
        method: "put" in init ? "PUT" : "GET",
        headers: {
          "content-type": "application/json",
          "x-caller": options.caller,
        },
        signal: AbortSignal.timeout(timeoutMs + (init.waitMs ?? 0)),
        ...("put" in init ? { body: sent } : {}),
      });
      const text = await res.text();
      countBytes(path.length + sent.length, "out");
      countBytes(text.length, "in");
      const body: unknown = JSON.parse(text);
      if (res.ok) {
        return Ok(body as T);
      }
      if (res.status === 409) {
        return Err({ kind: "conflict", current: body as StoredObject });
      }
      return res.status >= 500
        ? Err({ kind: "unreachable" })
        : Err({ kind: "rejected", detail: `${res.status}` });
    } catch {
      return Err({ kind: "unreachable" });
    }
  }

  return {
    get: (key) => request<StoredObject>(`/objects/${key}`, {}),
    list: (prefix) => request<WatchRes>(`/list?prefix=${prefix}`, {}),
    put: (key, value, { ifVersion }) =>
      request<StoredObject>(`/objects/${key}?ifVersion=${ifVersion}`, {
        put: value,
      }),
    watch: (prefix, { after, waitMs }) =>
      request<WatchRes>(
        `/watch?prefix=${prefix}&after=${after}&waitMs=${waitMs}`,
        { waitMs },
      ),
  };
}
