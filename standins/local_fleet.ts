/**
 * Hosts, targets and the platform in one process, connected by function calls
 * instead of sockets. Uses the runtime's timers, which tests pause and advance.
 */

import { Err, Ok } from "ts-results-es";
import { mersenne } from "pure-rand/generator/mersenne";
import { sleep, withTimeout } from "../src/core/clock.ts";
import { createHost, type Host, type HostPolicies } from "../src/core/host.ts";
import {
  asId,
  type DomainId,
  type HostId,
  type TargetId,
} from "../src/core/ids.ts";
import type {
  HostIo,
  MetricsSink,
  PlatformErr,
  PlatformStore,
  StateChange,
  TargetDriver,
} from "../src/core/types.ts";
import type { GroupInfo } from "../src/generated/objects.ts";
import type { Settings } from "../src/generated/settings.ts";
import { createPlatformCore, type PlatformCore } from "./platform_core.ts";
import { waitForChange } from "./platform_server.ts";
import {
  createTargetNode,
  type TargetNode,
  type TargetOptions,
} from "./target_node.ts";

/** Host of a local fleet. */
export interface LocalHost {
  readonly id: HostId;
  readonly settings: Settings;
  host: Host;
  /** A dead or frozen host neither sends nor receives. */
  state: "running" | "frozen" | "dead";
  readonly log: StateChange[];
}

/** Faults injected into the platform; `slowMs` delays each call. */
export interface LocalPlatformFaults {
  down?: boolean;
  slowMs?: number;
  /** Changes take effect, but their answers are lost. */
  loseAnswers?: boolean;
}

/** Call of a host to the platform; `path` is a key or a key prefix. */
export interface PlatformCall {
  readonly host: HostId;
  readonly path: string;
}

/** Fleet in one process. */
export interface LocalFleet {
  readonly hosts: readonly LocalHost[];
  readonly targets: ReadonlyMap<TargetId, TargetNode>;
  readonly groups: readonly GroupInfo[];
  readonly platform: PlatformCore;
  readonly platformFaults: LocalPlatformFaults;
  /** Calls to the platform, in order. */
  readonly platformCalls: PlatformCall[];
  /** Drops messages between two hosts, or between a host and `platform`. */
  partition(a: string, b: string): void;
  heal(): void;
  getHost(id: string): LocalHost;
  getTarget(id: string): TargetNode;
  kill(id: string): void;
  freeze(id: string): void;
  thaw(id: string): void;
  /** Replaces a host's process, running or dead, by a new one. */
  restart(id: string): void;
  stop(): void;
}

/** Options of a local fleet; times in milliseconds. */
export interface LocalFleetOptions {
  readonly hosts: number;
  readonly domains: readonly DomainId[];
  readonly groups: readonly GroupInfo[];
  readonly target: Pick<
    TargetOptions,
    "connectMs" | "statementMs" | "latencyMs" | "lagMs"
  >;
  readonly peerLatencyMs: number;
  readonly platformLatencyMs: number;
  readonly seed: number;
  /** Settings added to those of each host. */
  readonly settings?: Partial<Settings>;
  /** Host policies that an experiment replaces. */
  readonly policies?: HostPolicies;
}

/** Time after which connecting to an unreachable target fails. */
const CONNECT_TIMEOUT_MS = 2_000;
const UINT32_RANGE = 2 ** 32;

const NO_METRICS: MetricsSink = {
  count() {},
  add() {},
  observe() {},
  set() {},
};

/**
 * Creates and starts a fleet. The platform is empty: the caller writes the
 * lists (plans, services, groups, keys) to `platform`.
 */
export function createLocalFleet(options: LocalFleetOptions): LocalFleet {
  const generator = mersenne(options.seed);
  const random = () => (generator.next() >>> 0) / UINT32_RANGE;
  const platform = createPlatformCore();
  const platformFaults: LocalPlatformFaults = {};
  const platformCalls: PlatformCall[] = [];
  const partitions = new Set<string>();
  const frozenWaiters: (() => void)[] = [];
  const targets = createTargets(options);
  const allSettings = buildSettings(options);

  function isPartitioned(a: string, b: string): boolean {
    return partitions.has([a, b].sort().join("|"));
  }

  /** Wakes all operations that wait for a frozen host to check its state. */
  function wakeFrozenWaiters(): void {
    frozenWaiters.splice(0).forEach((resume) => resume());
  }

  /** Waits while a host is frozen; false if it is dead afterwards. */
  async function waitWhileFrozen(host: LocalHost): Promise<boolean> {
    while (host.state === "frozen") {
      await new Promise<void>((resolve) => frozenWaiters.push(resolve));
    }
    return host.state === "running";
  }

  function createDriver(self: LocalHost): TargetDriver {
    const isCurrentProcess = (process: Host | undefined) =>
      self.state !== "dead" && self.host === process;
    return {
      async connect(info) {
        const callingProcess = self.host;
        const node = targets.get(info.target)!;
        const conn = node.isUnreachableFrom(self.id)
          ? undefined
          : node.tryOpen(self.id);
        if (!conn) {
          if (!node.isUnreachableFrom(self.id)) {
            return Err({ kind: "connection_refused", sent: false });
          }
          await sleep(CONNECT_TIMEOUT_MS);
          return Err({ kind: "unreachable", sent: false });
        }
        if (!await node.waitUntilReady(self.id)) {
          conn.end();
          return Err({ kind: "unreachable", sent: false });
        }
        let isOpen = true;
        return Ok({
          target: info.target,
          isOpen: () => isOpen,
          async run(req, timeoutMs) {
            if (!isOpen || !await waitWhileFrozen(self)) {
              return Err({ kind: "unreachable", sent: false });
            }
            node.scanForKeys(JSON.stringify(req));
            const res = await withTimeout(resolveIfDelivered(conn.run(req)), {
              ms: timeoutMs,
              fallback: undefined,
            });
            await waitWhileFrozen(self);
            return res && isOpen && isCurrentProcess(callingProcess)
              ? res
              : Err({ kind: "no_answer", sent: true });
          },
          close() {
            isOpen = false;
            conn.end();
          },
        });
      },
      async control(info, req, timeoutMs) {
        const node = targets.get(info.target)!;
        if (!await waitWhileFrozen(self)) {
          return Err({ kind: "unreachable", sent: false });
        }
        node.scanForKeys(JSON.stringify(req));
        const res = await withTimeout(
          resolveIfDelivered(node.control(self.id, req)),
          {
            ms: timeoutMs,
            fallback: undefined,
          },
        );
        await waitWhileFrozen(self);
        return res ?? Err({ kind: "no_answer", sent: true });
      },
    };
  }

  function createStore(self: LocalHost): PlatformStore {
    const unreachable: Err<PlatformErr> = Err({ kind: "unreachable" });

    async function call<T>(
      path: string,
      run: () => Promise<T> | T,
    ): Promise<T | undefined> {
      platformCalls.push({ host: self.id, path });
      const isDown = () =>
        platformFaults.down || isPartitioned(self.id, "platform") ||
        self.state === "dead";
      await sleep(options.platformLatencyMs + (platformFaults.slowMs ?? 0));
      if (isDown()) {
        return undefined;
      }
      const res = await run();
      await sleep(options.platformLatencyMs);
      await waitWhileFrozen(self);
      return isDown() || platformFaults.loseAnswers ? undefined : res;
    }

    return {
      async get(key) {
        const object = await call(key, () => platform.get(key));
        return object ? Ok(object) : unreachable;
      },
      async list(prefix) {
        const listed = await call(prefix, () => platform.list(prefix));
        return listed ? Ok(listed) : unreachable;
      },
      async put(key, value, opts) {
        const copy: unknown = structuredClone(value);
        return await call(key, () => platform.put(key, copy, opts)) ??
          unreachable;
      },
      async watch(prefix, opts) {
        return await call(
          prefix,
          () => waitForChange(platform, { prefix, ...opts }),
        ) ?? unreachable;
      },
    };
  }

  function createIo(self: LocalHost): HostIo {
    return {
      sendPeer(to, msg) {
        const peer = fleet.hosts.find((host) => host.id === to);
        const copy = structuredClone(msg);
        void (async () => {
          await sleep(options.peerLatencyMs);
          const isUp = await waitWhileFrozen(self) && peer !== undefined &&
            await waitWhileFrozen(peer);
          if (isUp && !isPartitioned(self.id, to)) {
            peer.host.receivePeer(self.id, copy);
          }
        })();
      },
      targets: createDriver(self),
      platform: createStore(self),
      random,
      log: (change) => self.log.push(change),
      metrics: NO_METRICS,
    };
  }

  function createLocalHost(settings: Settings): LocalHost {
    const self = {
      id: settings.host,
      settings,
      state: "running",
      log: [],
    } as unknown as LocalHost;
    self.host = createHost(createIo(self), settings, options.policies);
    return self;
  }

  const fleet: LocalFleet = {
    hosts: allSettings.map(createLocalHost),
    targets,
    groups: options.groups,
    platform,
    platformFaults,
    platformCalls,
    partition: (a, b) => partitions.add([a, b].sort().join("|")),
    heal: () => partitions.clear(),
    getHost(id) {
      return fleet.hosts.find((host) => host.id === id)!;
    },
    getTarget: (id) => targets.get(asId<TargetId>(id))!,
    kill(id) {
      const host = fleet.getHost(id);
      host.state = "dead";
      wakeFrozenWaiters();
      host.host.stop();
    },
    freeze(id) {
      fleet.getHost(id).state = "frozen";
    },
    thaw(id) {
      fleet.getHost(id).state = "running";
      wakeFrozenWaiters();
    },
    restart(id) {
      const host = fleet.getHost(id);
      host.host.stop();
      host.state = "running";
      wakeFrozenWaiters();
      host.host = createHost(
        createIo(host),
        host.settings,
        options.policies,
      );
      host.host.start();
    },
    stop() {
      fleet.hosts.forEach((host) => host.host.stop());
      targets.forEach((target) => target.stop());
    },
  };
  fleet.hosts.forEach((host) => host.host.start());
  return fleet;
}

/** Never resolves if `answer` is undefined, that is, lost in transit. */
function resolveIfDelivered<T>(answer: Promise<T | undefined>): Promise<T> {
  return new Promise((resolve) =>
    void answer.then((value) => value !== undefined && resolve(value))
  );
}

function createTargets(
  options: LocalFleetOptions,
): ReadonlyMap<TargetId, TargetNode> {
  const targets = new Map<TargetId, TargetNode>();
  for (const group of options.groups) {
    const primary = group.targets[0]!;
    for (const info of group.targets) {
      const node = createTargetNode({
        target: info.target,
        initialRole: info === primary
          ? { kind: "primary" }
          : { kind: "replica", of: primary.target, url: primary.url },
        slots: group.slots,
        maxConnections: info.maxConnections,
        ...options.target,
      }, async (url, req) => {
        await sleep(options.target.latencyMs * 2);
        return targets.get(asId<TargetId>(url))?.fetch(req);
      });
      targets.set(info.target, node);
    }
  }
  return targets;
}

function buildSettings(options: LocalFleetOptions): Settings[] {
  const members = Array.from({ length: options.hosts }, (_, index) => ({
    host: asId<HostId>(`h${index + 1}`),
    domain: options.domains[index % options.domains.length]!,
    url: "ws://local",
  }));
  return members.map(({ host, domain }) => ({
    host,
    domain,
    region: domain,
    callers: { address: "local", port: 0 },
    peers: {
      address: "local",
      port: 0,
      known: members.filter((peer) => peer.host !== host),
    },
    platform: { url: "http://local" },
    ...options.settings,
  }));
}
