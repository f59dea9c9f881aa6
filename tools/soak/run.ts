/** Runs hosts, platform and clients under the faults of a seed. */

import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import { nowMs, sleep } from "../../src/core/clock.ts";
import { assertNever } from "../../src/core/errors.ts";
import {
  asId,
  type DatabaseName,
  type ServiceId,
  type WorkspaceId,
} from "../../src/core/ids.ts";
import type { Catalog, Route } from "../../src/pooling/types.ts";
import { createBalancer } from "./balancer.ts";
import {
  GRACE_S,
  MAX_STALE_MS,
  QUOTA,
  STATEMENT_TIMEOUT_MS,
} from "./bounds.ts";
import { type ClientRoute, type Habit, runClient } from "./clients.ts";
import {
  type ClientStatement,
  getStalledMs,
  type HostSpan,
  type SoakHistory,
  type Span,
  type Stop,
  type WorkspaceQuota,
} from "./history.ts";
import {
  buildHost,
  type HostPorts,
  type HostProcess,
  reservePorts,
  startHost,
  waitUntilReady,
  writeSettings,
} from "./host_process.ts";
import { type LinkProxy, startProxy } from "./proxy.ts";
import {
  type Fault,
  type Link,
  type LinkEffect,
  planFaults,
  type ScheduledFault,
  type SoakPlan,
} from "./schedule.ts";
import { type SoakPlatform, startPlatform } from "./stand_in_platform.ts";

const MS_PER_SECOND = 1_000;
const HOSTS_PER_DOMAIN = 3;
/** Rate and burst of a workspace without clients. */
const IDLE_QUOTA = 10;
const DOMAINS = ["d0", "d1", "d2"];
/** Delay until the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 300;
/** Connections to a target for each host. */
const CONNECTIONS_PER_HOST = 20;
/** Delay of each call to a slow store. */
const STORE_DELAY_MS = 700;
/** Delay of each chunk on a slow link. */
const LINK_DELAY_MS = 150;
const TRANSACTION_IDLE_MS = 3_000;
/** Interval of the probes that tell whether a host gets to run. */
const PROBE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 1_000;
/** Delay of a probe up to which a host counts as running. */
const MAX_PROBE_DELAY_MS = 100;
/** Clients of each habit for each host. */
const HABITS: readonly Habit[] = [
  "single",
  "loyal",
  "loyal",
  "long",
  "long",
  "pipelined",
  "half_closing",
  "slow_reader",
  "transactions",
  "transactions",
];
/** Clients of the workspace with the low quota, for all hosts together. */
const GREEDY_CLIENTS = 12;
const QUOTAS = [
  { workspace: "w1", ratePerS: 100_000, burst: 100_000, key: "key-1" },
  { workspace: "w2", ratePerS: 30, burst: 30, key: "key-2" },
];

/** Event of a run, for its report. */
export interface SoakEvent {
  readonly at: number;
  readonly text: string;
}

/** Finished run. */
export interface SoakRun {
  readonly schedule: readonly ScheduledFault[];
  readonly history: SoakHistory;
  readonly events: readonly SoakEvent[];
}

interface SoakHost {
  readonly host: string;
  readonly domain: string;
  readonly clientPort: number;
  readonly clientLink: LinkProxy;
  readonly storeLink: LinkProxy;
  readonly ports: HostPorts;
  readonly settingsFile: string;
  readonly log: WriteStream;
  process: HostProcess;
  /** Stop that has not ended; undefined if there is none. */
  stop: { isDisrupted: boolean } | undefined;
}

/** Runs a plan; logs and settings of the hosts are written to `directory`. */
export async function runSoak(
  plan: SoakPlan,
  { directory, onEvent }: {
    readonly directory: string;
    readonly onEvent: (event: SoakEvent) => void;
  },
): Promise<SoakRun> {
  mkdirSync(directory, { recursive: true });
  const program = buildHost("soak");
  const generator = mersenne(plan.seed);
  const draw = (below: number) => uniformInt(generator, 0, below - 1);
  const schedule = planFaults(plan);
  const domains = DOMAINS.slice(0, Math.ceil(plan.hosts / HOSTS_PER_DOMAIN));
  const services = Array.from({ length: plan.groups }, (_, i) => `service${i}`);
  const routes = services.flatMap(listRoutes);
  const platform = await startPlatform({
    services,
    targetsPerGroup: plan.targetsPerGroup,
    domains: DOMAINS,
    maxConnections: CONNECTIONS_PER_HOST * plan.hosts,
    draw,
  });
  let version = 1;
  platform.setCatalog(createCatalog({ version, routes, plan }));

  const statements: ClientStatement[] = [];
  const disruptions: Span[] = [];
  const stalls: HostSpan[] = [];
  const stops: Stop[] = [];
  const reloads: { host: string; at: number }[] = [];
  const events: SoakEvent[] = [];
  let isOver = false;
  let isClosed = false;
  const children = new Set<HostProcess>();
  const killChildren = () =>
    children.forEach(({ child }) => child.kill("SIGKILL"));
  process.on("exit", killChildren);

  function note(text: string): void {
    const event = { at: nowMs(), text };
    events.push(event);
    onEvent(event);
  }

  function start(host: Omit<SoakHost, "process" | "stop">): HostProcess {
    const started = startHost({
      program,
      settingsFile: host.settingsFile,
      ports: host.ports,
      onLog: (chunk) => host.log.write(chunk),
    });
    children.add(started);
    void started.exited.then(async (status) => {
      children.delete(started);
      if (!isClosed) {
        note(`${host.host} ended: ${status}`);
        await sleep(RESTART_DELAY_MS);
        restart(host.host);
      }
    });
    return started;
  }

  function restart(name: string): void {
    const host = hosts.find((entry) => entry.host === name)!;
    if (!isClosed) {
      host.process = start(host);
      host.stop = undefined;
    }
  }

  const ports = await reservePorts(plan.hosts);
  const hosts = await Promise.all(ports.hosts.map(async (hostPorts, i) => {
    const name = `h${i}`;
    const clientLink = await startProxy(hostPorts.clients, draw);
    const storeLink = await startProxy(platform.storePort, draw);
    const host = {
      host: name,
      domain: domains[i % domains.length]!,
      clientPort: clientLink.port,
      clientLink,
      storeLink,
      ports: hostPorts,
      settingsFile: join(directory, `${name}.yaml`),
      log: createWriteStream(join(directory, `${name}.log`)),
    };
    writeSettings(host.settingsFile, {
      host: name,
      domain: host.domain,
      ports: hostPorts,
      storePort: storeLink.port,
      ordersPort: platform.ordersPort,
      graceS: GRACE_S,
      quotaTolerance: QUOTA,
    });
    const started: SoakHost = {
      ...host,
      process: start(host),
      stop: undefined,
    };
    return started;
  }));

  /** Records a disruption that lasts until `work` is done. */
  async function disrupt(work: () => Promise<unknown>): Promise<void> {
    // Mutable until the end is known: an open disruption lasts for ever.
    const span = { from: nowMs(), to: Infinity };
    disruptions.push(span);
    await work();
    span.to = nowMs();
  }

  async function stopHost(
    host: SoakHost,
    repeatMs: number | undefined,
  ): Promise<void> {
    const { process: stopping } = host;
    if (host.stop || stopping.hasExited()) {
      stopping.child.kill("SIGTERM");
      return;
    }
    const stop = { host: host.host, at: nowMs(), isDisrupted: false };
    host.stop = stop;
    stopping.child.kill("SIGTERM");
    if (repeatMs !== undefined) {
      setTimeout(() => {
        if (!stopping.hasExited()) {
          note(`SIGTERM to ${host.host} again`);
          stopping.child.kill("SIGTERM");
        }
      }, repeatMs);
    }
    const exitedAt = stopping.exited.then(nowMs);
    let endedAt: number | undefined;
    for (let graceMs = GRACE_S * MS_PER_SECOND; endedAt === undefined;) {
      const leftMs = stop.at + graceMs - nowMs();
      if (leftMs <= 0) {
        break;
      }
      endedAt = await Promise.race([
        exitedAt,
        sleep(leftMs).then(() => undefined),
      ]);
      // A process that does not get to run can't end.
      graceMs = GRACE_S * MS_PER_SECOND + getStalledMs(stalls, {
        host: host.host,
        from: stop.at,
        to: nowMs(),
      });
    }
    stops.push({ ...stop, endedAt });
    if (endedAt !== undefined) {
      return;
    }
    note(`${host.host} outlives its grace: SIGKILL`);
    await disrupt(() => killHost(host));
  }

  async function killHost(host: SoakHost): Promise<void> {
    const killed = host.process;
    if (host.stop) {
      host.stop.isDisrupted = true;
    }
    killed.child.kill("SIGKILL");
    await killed.exited;
    while (host.process === killed && !isClosed) {
      await sleep(PROBE_INTERVAL_MS);
    }
    await untilReady(host);
  }

  /** Records when a host, or this process, does not get to run. */
  async function probeStalls(host: SoakHost): Promise<void> {
    while (!isClosed) {
      const from = nowMs();
      await sleep(PROBE_INTERVAL_MS);
      await host.process.getHealth(PROBE_TIMEOUT_MS);
      const to = nowMs();
      if (to - from > PROBE_INTERVAL_MS + MAX_PROBE_DELAY_MS) {
        stalls.push({ host: host.host, from, to });
      }
    }
  }

  /** Waits until a host is ready, also if it is killed meanwhile. */
  async function untilReady(host: SoakHost): Promise<void> {
    while (!isClosed && await host.process.getHealth() !== 200) {
      await sleep(PROBE_INTERVAL_MS);
    }
  }

  function getLink(link: Link): LinkProxy {
    switch (link.kind) {
      case "clients":
        return hosts[link.host]!.clientLink;
      case "store":
        return hosts[link.host]!.storeLink;
      case "target":
        return platform.groups[link.group]!.links[link.target]!;
      default:
        return assertNever(link);
    }
  }

  async function inject(fault: Fault): Promise<void> {
    note(describeFault(fault));
    switch (fault.kind) {
      case "stop":
        return await stopHost(hosts[fault.host]!, fault.repeatMs);
      case "reload": {
        const { host, process: { child } } = hosts[fault.host]!;
        reloads.push({ host, at: nowMs() });
        child.kill("SIGHUP");
        return;
      }
      case "configure":
        version += 1 + version % 3;
        platform.setCatalog(createCatalog({ version, routes, plan }));
        return;
      case "kill":
        return await disrupt(() => killHost(hosts[fault.host]!));
      case "freeze": {
        const host = hosts[fault.host]!;
        const { child } = host.process;
        if (host.stop) {
          host.stop.isDisrupted = true;
        }
        return await disrupt(async () => {
          child.kill("SIGSTOP");
          await sleep(fault.ms);
          child.kill("SIGCONT");
        });
      }
      case "split": {
        // Where writes are split says nothing about a link's health.
        const { faults } = getLink(fault.link);
        faults.splits = true;
        await sleep(fault.ms);
        faults.splits = false;
        return;
      }
      case "link":
        return await disrupt(() => disruptLink(getLink(fault.link), fault));
      case "target":
        return await disrupt(() => disruptTarget(platform, fault));
      case "primary_dark":
        return await disrupt(() => darkenPrimary(platform, fault));
      case "store_down":
      case "store_slow":
        return await disrupt(async () => {
          await platform.setStoreFaults(
            fault.kind === "store_down"
              ? { down: true }
              : { slowMs: STORE_DELAY_MS },
          );
          await sleep(fault.ms);
          await platform.setStoreFaults({});
        });
      default:
        assertNever(fault);
    }
  }

  await Promise.all(hosts.map((host) => waitUntilReady(host.process)));
  hosts.forEach((host) => void probeStalls(host));
  const balancer = createBalancer(hosts);
  const habits = [
    ...hosts.flatMap(() => HABITS),
    ...Array.from({ length: GREEDY_CLIENTS }, (): Habit => "greedy"),
  ];
  const clients = habits.map((habit, i) => {
    const { workspace, key } = QUOTAS[habit === "greedy" ? 1 : 0]!;
    return runClient({
      name: `c${i}`,
      seed: plan.seed * habits.length + i,
      habit,
      domain: domains[i % domains.length]!,
      workspace,
      key,
      // A transaction that reads and writes needs the primary.
      routes: routes.filter(({ type }) =>
        habit !== "transactions" || type === "primary"
      ),
      balancer,
      record: (entry) => statements.push(entry),
      isOver: () => isOver,
    });
  });
  const faults = schedule.map(async ({ atMs, fault }) => {
    await sleep(atMs);
    await inject(fault);
  });
  await sleep(plan.durationMs);
  await Promise.all(faults);
  isOver = true;
  await Promise.all(clients);
  isClosed = true;
  balancer.close();
  const exits = [...children].map(({ exited }) => exited);
  killChildren();
  await Promise.all(exits);
  process.off("exit", killChildren);
  hosts.forEach(({ log, clientLink, storeLink }) => {
    log.end();
    clientLink.close();
    storeLink.close();
  });
  platform.close();
  ports.release();
  return {
    schedule,
    events,
    history: {
      statements,
      groups: platform.groups.map(({ service, group }) => ({
        service,
        runs: group.runs,
        begun: group.begun,
        log: group.targets.filter(({ role }) => role === "primary")
          .sort((a, b) => b.term - a.term)[0]!.log,
      })),
      stops,
      reloads,
      promotions: platform.promotions,
      disruptions,
      stalls,
      quotas: QUOTAS,
    },
  };
}

function listRoutes(service: string): ClientRoute[] {
  return [
    { database: `${service}-p`, service, type: "primary" },
    { database: `${service}-b`, service, type: "bounded" },
    { database: `${service}-r`, service, type: "session" },
  ];
}

/** Creates a configuration; each version has another latency objective. */
function createCatalog(options: {
  readonly version: number;
  readonly routes: readonly ClientRoute[];
  readonly plan: SoakPlan;
}): Catalog {
  const { version, routes, plan } = options;
  const extra: ClientRoute = {
    database: `extra-${version}`,
    service: routes[0]!.service,
    type: "primary",
  };
  return {
    version,
    routes: new Map(
      [...routes, extra].map(({ database, service, type }, i) => {
        const route: Route = {
          database: asId<DatabaseName>(database),
          service: asId<ServiceId>(service),
          consistency: { kind: type, maxStaleMs: MAX_STALE_MS },
          statementTimeoutMs: STATEMENT_TIMEOUT_MS,
          objectiveMs: MS_PER_SECOND + version,
          priority: i % 3,
          isPublic: false,
        };
        return [route.database, route];
      }),
    ),
    services: new Map(
      routes.map(({ service }) => [asId<ServiceId>(service), {
        service: asId<ServiceId>(service),
        maxConnections: CONNECTIONS_PER_HOST * plan.hosts,
        syncReplicas: 1,
      }]),
    ),
    quotas: new Map(
      [...QUOTAS, ...listIdleQuotas(plan)].map((
        { workspace, ratePerS, burst },
      ) => [
        asId<WorkspaceId>(workspace),
        { ratePerS, burst },
      ]),
    ),
    workspaceByKey: new Map(
      QUOTAS.map(({ workspace, key }) => [key, asId<WorkspaceId>(workspace)]),
    ),
    transactionIdleMs: TRANSACTION_IDLE_MS,
  };
}

async function disruptLink(
  link: LinkProxy,
  { effect, ms }: { readonly effect: LinkEffect; readonly ms: number },
): Promise<void> {
  const { faults } = link;
  switch (effect) {
    case "resets":
      link.reset();
      return;
    case "silences":
      link.silence();
      return;
    case "delays":
      faults.delayMs = LINK_DELAY_MS;
      break;
    case "holds_requests":
      faults.holdsRequests = true;
      break;
    case "holds_replies":
      faults.holdsReplies = true;
      break;
    case "holds_both":
      faults.holdsRequests = true;
      faults.holdsReplies = true;
      break;
    default:
      assertNever(effect);
  }
  await sleep(ms);
  faults.delayMs = 0;
  faults.holdsRequests = false;
  faults.holdsReplies = false;
  link.refresh();
}

async function disruptTarget(
  platform: SoakPlatform,
  fault: Extract<Fault, { kind: "target" }>,
): Promise<void> {
  const { group, links } = platform.groups[fault.group]!;
  const { faults } = group.targets[fault.target]!;
  switch (fault.effect) {
    case "closes":
      links[fault.target]!.reset();
      return;
    case "loses_replies":
      faults.losesReplies = true;
      await sleep(fault.ms);
      faults.losesReplies = false;
      return;
    case "refuses":
      faults.isBusy = true;
      await sleep(fault.ms);
      faults.isBusy = false;
      return;
    case "is_silent":
      await darken(faults, fault.ms);
      return;
    default:
      assertNever(fault.effect);
  }
}

/** Silences the primary of a group, unless another target is silent. */
async function darkenPrimary(
  platform: SoakPlatform,
  fault: Extract<Fault, { kind: "primary_dark" }>,
): Promise<void> {
  const { targets } = platform.groups[fault.group]!.group;
  const primary = targets.find(({ role }) => role === "primary");
  if (primary && !targets.some(({ faults }) => faults.isUnresponsive)) {
    await darken(primary.faults, fault.ms);
  }
}

async function darken(
  faults: { isUnresponsive?: boolean },
  ms: number,
): Promise<void> {
  faults.isUnresponsive = true;
  await sleep(ms);
  faults.isUnresponsive = false;
}

function describeFault(fault: Fault): string {
  return Object.entries(fault)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) =>
      name === "kind" ? `${value}` : `${name} ${JSON.stringify(value)}`
    )
    .join(", ");
}

/** Lists the quotas of workspaces that no client uses. */
function listIdleQuotas(plan: SoakPlan): readonly WorkspaceQuota[] {
  return Array.from({ length: plan.idleWorkspaces ?? 0 }, (_, index) => ({
    workspace: `idle${index}`,
    ratePerS: IDLE_QUOTA,
    burst: IDLE_QUOTA,
  }));
}
