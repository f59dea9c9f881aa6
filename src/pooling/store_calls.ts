/** Counts the calls to the store by kind and cause. */

import type { ObjectKey } from "../core/ids.ts";
import type { EraCalls } from "../core/store_era.ts";
import { isSharedKey, LEDGER_KEY, tryGetLeaseService } from "./fleet.ts";
import type { PoolIo } from "./types.ts";

/** What a call to the store is about. */
export type StoreCallCause =
  | "configuration"
  | "targets"
  | "hosts"
  | "quotas"
  | "failover"
  | "other";

/** Prefixes of the objects that a call can be about. */
export interface StorePrefixes {
  readonly catalogPrefix: string;
  readonly targetPrefix: string;
}

/** Creates calls that are counted before they are made. */
export function createCountedCalls(
  io: Pick<PoolIo, "metrics">,
  options: { readonly calls: EraCalls; readonly prefixes: StorePrefixes },
): EraCalls {
  const { calls, prefixes } = options;

  function getCause(key: string): StoreCallCause {
    if (key === LEDGER_KEY) {
      return "quotas";
    }
    if (tryGetLeaseService(key as ObjectKey) !== undefined) {
      return "failover";
    }
    if (isSharedKey(key as ObjectKey)) {
      return "hosts";
    }
    if (key.startsWith(prefixes.catalogPrefix)) {
      return "configuration";
    }
    return key.startsWith(prefixes.targetPrefix) ? "targets" : "other";
  }

  function count(
    call: keyof EraCalls,
    key: string,
    options: { readonly mayBeLate?: boolean } = {},
  ): void {
    io.metrics.count("store_calls_total", {
      call,
      cause: getCause(key),
      freshness: options.mayBeLate === true ? "late" : "exact",
    });
  }

  return {
    get(key) {
      count("get", key);
      return calls.get(key);
    },
    list(prefix, list) {
      count("list", prefix, list);
      return calls.list(prefix, list);
    },
    put(key, value, condition) {
      count("put", key);
      return calls.put(key, value, condition);
    },
    watch(prefix, watch) {
      count("watch", prefix, watch);
      return calls.watch(prefix, watch);
    },
  };
}
