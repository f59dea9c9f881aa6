/** Fleet view of a single host on the in-memory store, for tests. */

import { asId, type HostId } from "../src/core/ids.ts";
import type { PlatformStore } from "../src/core/types.ts";
import { createFleet, type Fleet } from "../src/pooling/fleet.ts";
import type { PoolIo } from "../src/pooling/types.ts";
import {
  createPlatformCore,
  type PlatformCore,
} from "../standins/platform_core.ts";
import { createMemoryStore } from "./memory_store.ts";

/** Creates the fleet view of host `h0`; nothing is logged. */
export function createSingleHostFleet(
  core: PlatformCore = createPlatformCore(),
  store: PlatformStore = createMemoryStore(core),
): Fleet {
  return createFleet({
    store,
    log: { info() {} },
    random: () => 0.5,
  } as unknown as PoolIo, {
    self: asId<HostId>("h0"),
    peerAddress: "127.0.0.1:1",
    domain: asId("d1"),
    isStoreLostBy: () => false,
    setAddresses() {},
  });
}
