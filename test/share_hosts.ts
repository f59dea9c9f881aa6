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

/** Faults, demand and share of a host. */
export interface HostState {
  isUnreachable: boolean;
  /** Whether no peer hears the host, and it hears none. */
  isCutOff: boolean;
  lastUnreachableAt: number;
  responseDelayMs: number;
  requestDelayMs: number;
  /** Share that the host needs. */
  demand: number;
  /** Share that the host uses. */
  share: number;
}

/** Workspace whose quota the hosts share. */
export const WORKSPACE = asId<WorkspaceId>("w");

/** Time for which a host may rely on what a peer says of the store. */
const ANSWER_TTL_MS = 2_000;

/** Creates hosts on one store; `random` decides their delays. */
export function createShareHosts(random: () => number) {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const states = new Map<HostId, HostState>();

  /** Whether the peers' last answers say that no host reaches the store. */
  function isStoreLostBy(asker: HostId, peers: readonly HostId[]): boolean {
    const { isUnreachable, isCutOff } = states.get(asker)!;
    const isSilent = (peer: HostId) =>
      isCutOff || states.get(peer)?.isCutOff !== false;
    return isUnreachable &&
      peers.every((peer) =>
        !isSilent(peer) &&
        Date.now() - states.get(peer)!.lastUnreachableAt <= ANSWER_TTL_MS
      ) &&
      ![...states].some(([peer, state]) =>
        !isSilent(peer) && !state.isUnreachable
      );
  }

  function createHost(index: number) {
    const state: HostState = {
      isUnreachable: false,
      isCutOff: false,
      lastUnreachableAt: -Infinity,
      responseDelayMs: 0,
      requestDelayMs: 0,
      demand: 0,
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
    states.set(self, state);
    const fleet = createFleet(io, {
      self,
      peerAddress: `127.0.0.1:${index}`,
      domain: asId("d1"),
      isStoreLostBy: (peers) => isStoreLostBy(self, peers),
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
    let timer: NodeJS.Timeout | undefined;
    function check(): void {
      if (state.isUnreachable) {
        state.lastUnreachableAt = Date.now();
      }
      shares.checkLeases();
    }
    return {
      state,
      events,
      shares,
      start() {
        fleet.start();
        shares.start();
        timer = setInterval(check, 100);
      },
      leave: () => fleet.leave(),
      stop() {
        states.delete(self);
        clearInterval(timer);
        shares.stop();
        fleet.stop();
      },
    };
  }

  return { core, createHost };
}
