/** Registers this host in the platform so that other hosts discover it. */

import type { HostRecord } from "../generated/objects.ts";
import { sleep } from "./clock.ts";
import type { Configuration } from "./configuration.ts";
import { getHostKey } from "./object_keys.ts";
import { getBackoffMs } from "./retry_delay.ts";
import type { HostIo, Stoppable } from "./types.ts";

const BASE_RETRY_MS = 1_000;
const MAX_RETRY_MS = 30_000;

/** Record of this host among the registered hosts. */
export interface Registration extends Stoppable {
  start(): void;
  /** Marks this host as leaving, in a single attempt. */
  leave(): Promise<void>;
}

/** Creates the registration, which takes one platform call at each start. */
export function createRegistration(
  io: HostIo,
  options: { readonly record: HostRecord; readonly cfg: Configuration },
): Registration {
  const { record, cfg } = options;
  const key = getHostKey(record.host);
  let version: number | undefined;
  let stopped = false;

  function getVersion(): number {
    const stored = cfg.objects.find((object) => object.key === key);
    return Math.max(version ?? 0, stored?.version ?? 0);
  }

  async function tryPut(value: HostRecord): Promise<boolean> {
    const res = await io.platform.put(key, value, { ifVersion: getVersion() });
    if (res.isOk()) {
      version = res.value.version;
      return true;
    }
    if (res.error.kind === "conflict") {
      version = res.error.current.version;
    }
    return false;
  }

  async function register(): Promise<void> {
    await cfg.ready();
    for (let attempt = 1; !stopped && !await tryPut(record); attempt++) {
      const ceilingMs = getBackoffMs(attempt, {
        minMs: BASE_RETRY_MS,
        maxMs: MAX_RETRY_MS,
      });
      await sleep(BASE_RETRY_MS + io.random() * ceilingMs);
    }
  }

  return {
    start: () => void register(),
    async leave() {
      stopped = true;
      await tryPut({ ...record, leaving: true });
    },
    stop() {
      stopped = true;
    },
  };
}
