/** Hosts that share one quota through a store that can return to a copy. */

import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import { createEraStore } from "../src/core/store_era.ts";
import { createClockJumpDetector } from "../src/pooling/clock_jumps.ts";
import { createFleet } from "../src/pooling/fleet.ts";
import type { Quotas } from "../src/pooling/quotas.ts";
import { createShareSync } from "../src/pooling/share_sync.ts";
import type { PoolIo } from "../src/pooling/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createEraCalls } from "./era_calls.ts";

/** Workspace whose quota the hosts share. */
export const WORKSPACE = asId<WorkspaceId>("w");

/** Creates hosts on one store; `random` decides their delays. */
export function createShareHosts(random: () => number) {
  const core = createPlatformCore({ versionsAreRevisions: true });

  function createHost(index: number) {
    const state = {
      isUnreachable: false,
      responseDelayMs: 0,
      requestDelayMs: 0,
      /** Share that the host needs. */
      demand: 0,
      /** Share that the host uses. */
      share: 0,
    };
    const events: string[] = [];
    const io = {
      store: createEraStore(createEraCalls(core, {
        isUnreachable: () => state.isUnreachable,
        getResponseDelayMs: () => state.responseDelayMs,
        getRequestDelayMs: () => state.requestDelayMs,
      })),
      log: { info: (event: string) => void events.push(event) },
      metrics: { count() {}, add() {} },
      random,
    } as unknown as PoolIo;
    const self = asId<HostId>(`h${index}`);
    const fleet = createFleet(io, {
      self,
      peerAddress: `127.0.0.1:${index}`,
      domain: asId("d1"),
      setAddresses() {},
    });
    const quotas = {
      setShare: (_: WorkspaceId, share: number) => void (state.share = share),
      listDemand: () =>
        new Map([[WORKSPACE, { share: state.demand, burst: 1_000 }]]),
    } as unknown as Quotas;
    const shares = createShareSync(io, {
      self,
      fleet,
      quotas,
      clockJumps: createClockJumpDetector(),
    });
    return {
      state,
      events,
      shares,
      start() {
        fleet.start();
        shares.start();
      },
      leave: () => fleet.leave(),
      stop() {
        shares.stop();
        fleet.stop();
      },
    };
  }

  return { core, createHost };
}
