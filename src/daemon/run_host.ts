/** Runs one host as a process. */

import { randomBytes } from "node:crypto";
import debug from "debug";
import { mersenne } from "pure-rand/generator/mersenne";
import { createHost, type Host, type HostPolicies } from "../core/host.ts";
import type { HostIo, Stoppable } from "../core/types.ts";
import type { Settings } from "../generated/settings.ts";
import { createCallerServer } from "../host/caller_server.ts";
import { createMetrics } from "../host/metrics.ts";
import { createPeerLinks } from "../host/peer_links.ts";
import { createPlatformStore } from "../host/platform_store.ts";
import { createTargetDriver } from "../host/target_driver.ts";

const UINT32_RANGE = 2 ** 32;

/** A host with its servers. */
export interface RunningHost extends Stoppable {
  readonly host: Host;
}

/** What a program that embeds a host may replace. */
export interface RunHostOptions {
  readonly policies?: HostPolicies;
  readonly wrapIo?: (io: HostIo) => HostIo;
}

/** Starts a host and resolves when it accepts callers. */
export async function runHost(
  settings: Settings,
  options: RunHostOptions = {},
): Promise<RunningHost> {
  const metrics = createMetrics();
  const links = createPeerLinks(settings, metrics);
  const targets = createTargetDriver(settings, metrics);
  const generator = mersenne(randomBytes(4).readInt32LE());
  const io: HostIo = {
    sendPeer: links.send,
    targets,
    platform: createPlatformStore(settings.platform.url, {
      caller: settings.host,
      metrics,
      ...(settings.platform.timeoutMs
        ? { timeoutMs: settings.platform.timeoutMs }
        : {}),
    }),
    random: () => (generator.next() >>> 0) / UINT32_RANGE,
    log: ({ component, event, fields }) =>
      debug(`turmericchute:${component}`)("%s %o", event, fields),
    metrics,
  };
  const host = createHost(
    options.wrapIo?.(io) ?? io,
    settings,
    options.policies,
  );
  const server = createCallerServer(host, settings.callers);
  await links.listen(host.receivePeer);
  host.start();
  await host.cfg.ready();
  await server.listen();
  return {
    host,
    stop() {
      server.close();
      host.stop();
      targets.close();
      links.close();
    },
  };
}
