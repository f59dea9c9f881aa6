/** Calls to the in-memory store whose responses name its era, for tests. */

import { Err, Ok, type Result } from "ts-results-es";
import { sleep } from "../src/core/clock.ts";
import type { ObjectKey } from "../src/core/ids.ts";
import type { EraCalls, EraRes } from "../src/core/store_era.ts";
import type { PlatformErr } from "../src/core/types.ts";
import type { PlatformCore } from "../standins/platform_core.ts";
import { waitForChange } from "../standins/platform_server.ts";

/** Whether an object is written by the operator or a target. */
export function isExternalKey(key: ObjectKey): boolean {
  return !key.startsWith("turmericchute-fleet/");
}

/** Creates the calls of one host; a delayed response keeps its era. */
export function createEraCalls(
  core: PlatformCore,
  options: {
    isUnreachable(): boolean;
    /** Delay of a response after its execution; 0 for none. */
    getResponseDelayMs(): number;
    /** Delay of a request before its execution; 0 or undefined for none. */
    getRequestDelayMs?(): number;
    /** Whether the response to a write of the object is lost. */
    isAnswerLost?(key: ObjectKey): boolean;
  },
): EraCalls {
  async function call<T>(
    run: () => Result<T, PlatformErr> | Promise<Result<T, PlatformErr>>,
  ): Promise<EraRes<T>> {
    const unreachable = Err({ kind: "unreachable" } as const);
    if (options.isUnreachable()) {
      return { era: undefined, result: unreachable };
    }
    const requestDelayMs = options.getRequestDelayMs?.() ?? 0;
    if (requestDelayMs > 0) {
      await sleep(requestDelayMs);
    }
    const result = await run();
    const era = core.getEra();
    const delayMs = options.getResponseDelayMs();
    if (delayMs > 0) {
      await sleep(delayMs);
    }
    return options.isUnreachable()
      ? { era: undefined, result: unreachable }
      : { era, result };
  }

  return {
    get: (key) => call(() => Ok(core.get(key))),
    list: (prefix) => call(() => Ok(core.list(prefix))),
    async put(key, value, condition) {
      const res = await call(() => core.put(key, value, condition));
      return options.isAnswerLost?.(key)
        ? { era: undefined, result: Err({ kind: "unreachable" }) }
        : res;
    },
    watch: (prefix, { after, waitMs }) =>
      call(() => waitForChange(core, { prefix, after, waitMs })),
  };
}
