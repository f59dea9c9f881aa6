/** Calls to the in-memory store whose responses name its era, for tests. */

import { Err, Ok, type Result } from "ts-results-es";
import { nowMs, sleep } from "../src/core/clock.ts";
import type { ObjectKey } from "../src/core/ids.ts";
import type { EraCalls, EraRes } from "../src/core/store_era.ts";
import type { PlatformErr, WatchOptions, WatchRes } from "../src/core/types.ts";
import type { PlatformCore } from "../standins/platform_core.ts";
import { waitForChange } from "../standins/platform_server.ts";

/** Time after the wait of a watch at which the store client gives it up. */
const CALL_TIMEOUT_MS = 1_500;

/** Watches that the store leaves without an answer. */
export interface WatchFaults {
  /**
   * Whether the store answers no watch. One that begins then gets no event
   * later either; if its wait ends later, that end is answered.
   */
  isSilent: boolean;
  /** Cuts the watches off that wait for an answer. */
  readonly waiting: Set<() => void>;
}

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
    readonly watchFaults?: WatchFaults;
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
    watch: (prefix, watch) =>
      call(() =>
        options.watchFaults
          ? watchUnderFaults(core, {
            prefix,
            watch,
            faults: options.watchFaults,
          })
          : waitForChange(core, { prefix, ...watch })
      ),
  };
}

async function watchUnderFaults(
  core: PlatformCore,
  { prefix, watch, faults }: {
    readonly prefix: string;
    readonly watch: WatchOptions;
    readonly faults: WatchFaults;
  },
): Promise<Result<WatchRes, PlatformErr>> {
  const { after, waitMs } = watch;
  let cutOff = () => {};
  const cut = new Promise<undefined>((resolve) => {
    cutOff = () => resolve(undefined);
  });
  faults.waiting.add(cutOff);
  const answer = faults.isSilent
    ? sleep(waitMs).then(() => core.changesAfter(prefix, after))
    : waitForChange(core, { prefix, after, waitMs });
  const startedAt = nowMs();
  let res = await Promise.race([cut, answer]);
  if (res && faults.isSilent) {
    const remainingMs = startedAt + waitMs + CALL_TIMEOUT_MS - nowMs();
    res = await Promise.race([cut, sleep(remainingMs).then(() => undefined)]);
  }
  faults.waiting.delete(cutOff);
  return res ?? Err({ kind: "unreachable" });
}
