/** Hosts that own partitions of the quotas, without sessions and targets. */

import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import { createEraStore } from "../src/core/store_era.ts";
import type { PoolPeerMessage } from "../src/generated/pool_peer.ts";
import { createClockJumpDetector } from "../src/pooling/clock_jumps.ts";
import { createFleet } from "../src/pooling/fleet.ts";
import {
  createQuotaOwners,
  type OwnerMessage,
} from "../src/pooling/quota_owner_sync.ts";
import type { PoolIo, Quota } from "../src/pooling/types.ts";
import { createPlatformCore } from "../standins/platform_core.ts";
import { createEraCalls } from "./era_calls.ts";

/** Interval of the checks of a host, as in a pool. */
const CHECK_INTERVAL_MS = 100;

/** Faults of a host. */
export interface OwnerHostState {
  isWithoutStore: boolean;
  /** Whether no peer hears the host, and it hears none. */
  isCutOff: boolean;
  /** Time until which the process is stopped. */
  frozenUntil: number;
  responseDelayMs: number;
  requestDelayMs: number;
}

/** Workspace whose tokens are taken. */
export const WORKSPACE = asId<WorkspaceId>("w1");

/** Creates hosts on one store; `random` decides their delays. */
export function createOwnerHosts(random: () => number, quota: Quota) {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const receivers = new Map<
    HostId,
    (from: HostId, msg: OwnerMessage) => void
  >();
  const states = new Map<HostId, OwnerHostState>();
  const cutLinks = new Set<string>();

  function getFrozenMs(host: HostId): number {
    return Math.max(0, states.get(host)!.frozenUntil - Date.now());
  }

  function deliver(from: HostId, to: HostId, msg: OwnerMessage): void {
    if (!states.has(from) || !states.has(to)) {
      return;
    }
    const frozenMs = Math.max(getFrozenMs(from), getFrozenMs(to));
    if (frozenMs > 0) {
      setTimeout(() => deliver(from, to, msg), frozenMs);
      return;
    }
    const isCut = states.get(from)!.isCutOff || states.get(to)!.isCutOff ||
      cutLinks.has(`${from}/${to}`) || cutLinks.has(`${to}/${from}`);
    if (!isCut) {
      receivers.get(to)?.(from, msg);
    }
  }

  function createHost(index: number) {
    const self = asId<HostId>(`h${index}`);
    const state: OwnerHostState = {
      isWithoutStore: false,
      isCutOff: false,
      frozenUntil: 0,
      responseDelayMs: 0,
      requestDelayMs: 0,
    };
    const events: string[] = [];
    const io = {
      store: createEraStore(createEraCalls(core, {
        isUnreachable: () => state.isWithoutStore,
        getResponseDelayMs: () => state.responseDelayMs,
        getRequestDelayMs: () =>
          Math.max(state.requestDelayMs, state.frozenUntil - Date.now()),
      })),
      peers: {
        send: (to: HostId, msg: PoolPeerMessage) =>
          void setTimeout(
            () => deliver(self, to, msg as OwnerMessage),
            1 + 25 * random(),
          ),
      },
      log: { info: (event: string) => void events.push(event) },
      metrics: { count() {}, add() {}, set() {} },
      random,
    } as unknown as PoolIo;
    const fleet = createFleet(io, {
      self,
      peerAddress: `127.0.0.1:${index}`,
      domain: asId(`d${index % 3}`),
      isStoreLostBy: () => false,
      setAddresses() {},
    });
    const clockJumps = createClockJumpDetector();
    const owners = createQuotaOwners(io, {
      self,
      domain: asId(`d${index % 3}`),
      fleet,
      clockJumps,
      isOwned: () => true,
      isStoreLost: () => state.isWithoutStore,
      onRedirect() {},
      onOwnerChange() {},
    });
    clockJumps.onJump(() => owners.recordSuspension());
    owners.setQuotas(new Map([[WORKSPACE, quota]]));
    let timer: NodeJS.Timeout | undefined;
    const isRunning = () =>
      states.get(self) === state && getFrozenMs(self) === 0;
    return {
      state,
      events,
      self,
      start() {
        states.set(self, state);
        receivers.set(self, owners.handleMessage);
        fleet.start();
        timer = setInterval(
          () => isRunning() && owners.check(),
          CHECK_INTERVAL_MS,
        );
      },
      /** Takes up to `count` tokens, as a request of this host to itself. */
      take: (count: number) =>
        isRunning()
          ? owners.grant(WORKSPACE, { need: count, ahead: 0 })?.count ?? 0
          : 0,
      canGrant: () =>
        isRunning() &&
        owners.grant(WORKSPACE, { need: 0, ahead: 0 }) !== undefined,
      leave: () => owners.leave(),
      /** Ends the process without a stop. */
      kill() {
        if (states.get(self) === state) {
          states.delete(self);
          receivers.delete(self);
        }
        clearInterval(timer);
        fleet.stop();
      },
    };
  }

  return { core, createHost, cutLinks };
}
