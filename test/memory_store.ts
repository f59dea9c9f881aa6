/** Platform store backed by the in-memory stand-in, with one fault per put. */

import { Err, Ok, type Result } from "ts-results-es";
import type {
  PlatformErr,
  PlatformStore,
  StoredObject,
} from "../src/core/types.ts";
import type { PlatformCore } from "../standins/platform_core.ts";

/** Fault of one put: fails after it took effect, or is not sent. */
export type PutFault = "none" | "lost_answer" | "not_sent";

/** Store with faults, consumed one per put, and a hook before each put. */
export interface MemoryStore extends PlatformStore {
  readonly faults: PutFault[];
  beforePut: (key: string) => Promise<void> | void;
}

/** Creates a store backed by `core`; watches return at once. */
export function createMemoryStore(core: PlatformCore): MemoryStore {
  const unreachable: Result<StoredObject, PlatformErr> = Err({
    kind: "unreachable",
  });
  const store: MemoryStore = {
    faults: [],

    beforePut: () => {},
    get: (key) => Promise.resolve(Ok(structuredClone(core.get(key)))),
    list: (prefix) => Promise.resolve(Ok(core.list(prefix))),
    async put(key, value, options) {
      await store.beforePut(key);
      const fault = store.faults.shift() ?? "none";

      if (fault === "not_sent") {
        return unreachable;
      }
      const res = core.put(key, structuredClone(value), options);
      return fault === "lost_answer" ? unreachable : res;
    },
    watch: (prefix, { after }) =>
      Promise.resolve(core.changesAfter(prefix, after)),
  };
  return store;
}
