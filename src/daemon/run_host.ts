/** Composes a host with its servers and runs it in this process. */

import { randomBytes } from "node:crypto";
import { mersenne } from "pure-rand/generator/mersenne";
import { nowMs, sleep } from "../core/clock.ts";
import { LEAVE_NOTICE_MS } from "../core/drain.ts";
import { createHost, type Host, type HostPolicies } from "../core/host.ts";
import type { HostIo, Stoppable } from "../core/types.ts";
import type { Settings } from "../generated/settings.ts";
import { createCallerServer } from "../host/caller_server.ts";
import { createLog } from "../host/log.ts";
import { createMeteredTargets } from "../host/metered_targets.ts";
import { createMetrics, type HostMetrics } from "../host/metrics.ts";
import { createOperatorsServer } from "../host/operators_server.ts";
import { createPeerLinks, type PeerLinks } from "../host/peer_links.ts";
import { createObjectStore } from "../../platform/object_store.ts";
import { getHostStatus, type HostState } from "../host/status.ts";
import { createTargetDriver } from "../host/target_driver.ts";

const UINT32_RANGE = 2 ** 32;
/** Time that a drain allows requests and transactions to finish. */
const DRAIN_TIMEOUT_MS = 30_000;

/** A running host with its servers. */
export interface RunningHost extends Stoppable {
  readonly host: Host;
  /** Stops the host after running requests and transactions have finished. */
  drain(): Promise<void>;
  /**
   * Waits for no more requests in a drain: they are answered with what became
   * of them.
   */
  abortDrain(): void;
  /** Resolves when the host has stopped. */
  readonly stopped: Promise<void>;
}

/** Parts of a host that an embedding program can replace. */
export interface RunHostOptions {
  readonly policies?: HostPolicies;
  readonly wrapIo?: (io: HostIo) => HostIo;
}

/** Starts a host; resolves once it accepts callers. */
export async function runHost(
  settings: Settings,
  options: RunHostOptions = {},
): Promise<RunningHost> {
  const startedAt = nowMs();
  const metrics = createMetrics();
  const links = createPeerLinks(settings, metrics);
  const targets = createTargetDriver(settings, metrics);
  const io = createIo(settings, { metrics, links, targets });
  const host = createHost(
    options.wrapIo?.(io) ?? io,
    settings,
    options.policies,
  );
  const callers = createCallerServer(host, settings.callers);
  let state: HostState = "starting";
  let draining: Promise<void> | undefined;
  const drainAbort = new AbortController();
  const aborted = new Promise<void>((resolve) => {
    drainAbort.signal.addEventListener("abort", () => resolve());
  });
  let resolveStopped: () => void;
  const stopped = new Promise<void>((resolve) => resolveStopped = resolve);

  /** Updates the gauges that are only computed on export. */
  function refreshGauges(): void {
    metrics.set("peers_alive", host.membership.listAlive().length, {});
    metrics.set("sessions", callers.countConnections(), {});
    metrics.set("in_flight_requests", callers.countInFlight(), {});
  }

  const operators = settings.operators && createOperatorsServer({
    metrics,
    refreshGauges,
    getState: () => state,
    getStatus: () =>
      getHostStatus({
        host,
        settings,
        metrics,
        startedAt,
        state,
        connections: callers.countConnections(),
      }),
    drain: () => void drain(),
  }, settings.operators);

  function setState(newState: HostState): void {
    state = newState;
    io.log({
      component: "host",
      event: newState,
      fields: { host: settings.host },
    });
  }

  function drain(): Promise<void> {
    draining ??= drainOnce();
    return draining;
  }

  async function drainOnce(): Promise<void> {
    setState("draining");
    const { signal } = drainAbort;
    const hostDrained = host.drain(DRAIN_TIMEOUT_MS, signal);
    await Promise.race([sleep(LEAVE_NOTICE_MS), aborted]);
    await callers.drain(DRAIN_TIMEOUT_MS, signal);
    await Promise.race([hostDrained, aborted]);
    stop();
  }

  function stop(): void {
    callers.close();
    operators?.close();
    host.stop();
    targets.close();
    links.close();
    resolveStopped();
  }

  async function start(): Promise<void> {
    await operators?.listen();
    await links.listen(host.receivePeer);
    host.start();
    await host.ready();
    await callers.listen();
  }

  warnUnencrypted(settings, io);
  host.cfg.onChange(() => links.updateUrls(host.cfg.hosts));
  try {
    await start();
  } catch (err) {
    stop();
    throw err;
  }
  setState("serving");
  return { host, drain, abortDrain: () => drainAbort.abort(), stop, stopped };
}

/** Logs each server that accepts unencrypted connections. */
function warnUnencrypted(settings: Settings, io: HostIo): void {
  for (const port of ["callers", "peers"] as const) {
    if (!settings[port].tls) {
      const fields = { port, address: settings[port].address };
      io.log({ component: "tls", event: "unencrypted", fields });
    }
  }
}

function createIo(
  settings: Settings,
  dependencies: {
    readonly metrics: HostMetrics;
    readonly links: PeerLinks;
    readonly targets: HostIo["targets"];
  },
): HostIo {
  const { url, timeoutMs } = settings.platform;
  const generator = mersenne(randomBytes(4).readInt32LE());
  return {
    sendPeer: dependencies.links.send,
    targets: createMeteredTargets(dependencies.targets, dependencies.metrics),
    platform: createObjectStore(url, {
      caller: settings.host,
      metrics: dependencies.metrics,
      ...(timeoutMs ? { timeoutMs } : {}),
    }),
    random: () => (generator.next() >>> 0) / UINT32_RANGE,
    log: createLog(dependencies.metrics),
    metrics: dependencies.metrics,
  };
}
