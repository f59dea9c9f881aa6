/** Starts and stops the processes of a deployment on loopback. */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "yaml";
import {
  asId,
  type DomainId,
  type HostId,
  type TargetId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { issueKey } from "../src/core/keys.ts";
import {
  GROUPS_KEY,
  KEYS_KEY,
  PLANS_KEY,
  SERVICES_KEY,
} from "../src/core/object_keys.ts";
import type { GroupInfo, TargetInfo } from "../src/generated/objects.ts";
import type { Settings } from "../src/generated/settings.ts";
import { createObjectStore } from "../platform/object_store.ts";
import {
  buildGroups,
  buildPlans,
  buildServices,
  type Deployment,
} from "./workloads.ts";

/** Root directory of the repository, seen from `dist/tools`. */
export const ROOT = new URL("../..", import.meta.url).pathname;
/** Signals that end the run, with their numbers. */
const STOP_SIGNALS = { SIGHUP: 1, SIGINT: 2, SIGTERM: 15 } as const;
/** Added to a signal's number for the exit code, as shells do. */
const SIGNAL_EXIT_BASE = 128;
const LOOPBACK = "127.0.0.1";
const READY_TIMEOUT_MS = 15_000;
const DEFAULT_HOST_PROGRAM = ["dist/src/cli/main.js", "run"];

/** Host of a running fleet. */
export interface FleetHost {
  readonly host: HostId;
  readonly callersUrl: string;
  readonly settingsFile: string;
  readonly settings: Settings;
  child: ChildProcess;
}

/** Target of a running fleet. */
export interface FleetTarget {
  readonly target: TargetId;
  readonly url: string;
  readonly child: ChildProcess;
}

/** Running processes of a deployment. */
export interface Fleet {
  readonly deployment: Deployment;
  readonly hosts: readonly FleetHost[];
  readonly targets: readonly FleetTarget[];
  readonly groups: readonly GroupInfo[];
  readonly platformUrl: string;
  readonly keys: ReadonlyMap<WorkspaceId, string>;
  /** Starts a new process for a host whose process has exited. */
  restart(host: FleetHost): Promise<void>;
  /** Kills all processes of the fleet and waits until they have exited. */
  stop(): Promise<void>;
}

/** Options of a fleet; `settings` are added to those of each host. */
export interface FleetOptions {
  readonly hosts: number;
  readonly settings?: Partial<Settings>;
  /** Node arguments before the settings file; default: the `run` command. */
  readonly hostProgram?: readonly string[];
  /** Additional options of the targets in a failure domain. */
  readonly targetArgs?: (domain: string) => readonly string[];
  /** Returns the URL at which `from` reaches `to`; default: its peers port. */
  readonly peerUrl?: (from: PlannedHost, to: PlannedHost) => Promise<string>;
}

/** Host before its start. */
export interface PlannedHost {
  readonly host: HostId;
  readonly domain: DomainId;
  readonly peersPort: number;
}

/** Starts a fleet; resolves when every host accepts callers. */
export async function startFleet(
  deployment: Deployment,
  options: FleetOptions,
): Promise<Fleet> {
  const children: ChildProcess[] = [];
  killOnExit(children);
  function run(args: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "inherit"],
    });
    children.push(child);
    return child;
  }
  const platform = run(["dist/standins/main.js", "platform"]);
  const platformUrl = `http://${LOOPBACK}:${await readFirstLine(platform)}`;
  const { groups, targets } = await startTargets(deployment, {
    run,
    targetArgs: options.targetArgs ?? (() => []),
  });
  const keys = await writeObjects(deployment, { platformUrl, groups });
  const hosts = await startHosts(deployment, {
    ...options,
    platformUrl,
    run,
  });
  return {
    deployment,
    hosts,
    targets,
    groups,
    platformUrl,
    keys,
    async restart(host) {
      const program = options.hostProgram ?? DEFAULT_HOST_PROGRAM;
      host.child = run([...program, host.settingsFile]);
      await readFirstLine(host.child);
    },
    stop: async () => {
      const started = [...children, ...hosts.map((host) => host.child)];
      await Promise.all(started.map(killProcess));
    },
  };
}

/** Kills the children when this process exits or is stopped by a signal. */
function killOnExit(children: readonly ChildProcess[]): void {
  process.once("exit", () => children.forEach((c) => c.kill("SIGKILL")));
  for (const [signal, number] of Object.entries(STOP_SIGNALS)) {
    process.once(signal, () => process.exit(SIGNAL_EXIT_BASE + number));
  }
}

type StartProcess = (args: readonly string[]) => ChildProcess;

async function startTargets(
  deployment: Deployment,
  options: {
    readonly run: StartProcess;
    readonly targetArgs: (domain: string) => readonly string[];
  },
): Promise<{ groups: GroupInfo[]; targets: FleetTarget[] }> {
  async function startTarget(
    { target, domain }: TargetInfo,
    primary: FleetTarget | undefined,
  ): Promise<FleetTarget> {
    const child = options.run([
      "dist/standins/main.js",
      "target",
      `--target=${target}`,
      ...(primary
        ? [`--follow=${primary.target}`, `--follow-url=${primary.url}`]
        : []),
      `--slots=${deployment.slots}`,
      `--max-connections=${deployment.connectionsPerTarget}`,
      `--connect-ms=${deployment.connectMs}`,
      `--statement-ms=${deployment.statementMs}`,
      `--latency-ms=${deployment.domainLatencyMs}`,
      ...options.targetArgs(domain),
    ]);
    const url = `ws://${LOOPBACK}:${await readFirstLine(child)}`;
    return { target, url, child };
  }

  async function startGroup(group: GroupInfo): Promise<FleetTarget[]> {
    const [first, ...rest] = group.targets;
    const primary = await startTarget(first!, undefined);
    const replicas = rest.map((info) => startTarget(info, primary));
    return [primary, ...await Promise.all(replicas)];
  }

  const planned = buildGroups(deployment, () => "");
  const targets = (await Promise.all(planned.map(startGroup))).flat();
  const urls = new Map(targets.map((t) => [t.target, t.url]));
  const groups = buildGroups(deployment, (target) => urls.get(target)!);
  return { groups, targets };
}

/** Writes the lists to the platform; returns a new key per workspace. */
async function writeObjects(
  deployment: Deployment,
  options: {
    readonly platformUrl: string;
    readonly groups: readonly GroupInfo[];
  },
): Promise<Map<WorkspaceId, string>> {
  const store = createObjectStore(options.platformUrl, { caller: "tools" });
  const issuedKeys = deployment.workspaces.map((w) => issueKey(w.workspace));
  const objects = [
    { key: PLANS_KEY, value: buildPlans(deployment) },
    { key: SERVICES_KEY, value: buildServices(deployment) },
    { key: GROUPS_KEY, value: { kind: "groups", groups: options.groups } },
    {
      key: KEYS_KEY,
      value: { kind: "keys", keys: issuedKeys.map((key) => key.record) },
    },
  ];
  for (const { key, value } of objects) {
    const res = await store.put(key, value, { ifVersion: 0 });
    if (res.isErr()) {
      throw new Error(`cannot write ${key} to the platform: ${res.error.kind}`);
    }
  }
  return new Map(issuedKeys.map((key) => [key.record.workspace, key.secret]));
}

async function startHosts(
  deployment: Deployment,
  options: FleetOptions & {
    readonly platformUrl: string;
    readonly run: StartProcess;
  },
): Promise<FleetHost[]> {
  const dir = mkdtempSync(join(tmpdir(), "turmericchute-"));
  const ports = await findPorts(options.hosts * 3);
  const planned = Array.from({ length: options.hosts }, (_, index) => ({
    host: asId<HostId>(`h${index + 1}`),
    domain: deployment.domains[index % deployment.domains.length]!,
    callersPort: ports[index * 3]!,
    peersPort: ports[index * 3 + 1]!,
    operatorsPort: ports[index * 3 + 2]!,
  }));
  const getPeerUrl = options.peerUrl ??
    ((_from, to) => Promise.resolve(`ws://${LOOPBACK}:${to.peersPort}`));
  return await Promise.all(planned.map(async (plan): Promise<FleetHost> => {
    const settings: Settings = {
      host: plan.host,
      domain: plan.domain,
      region: plan.domain,
      callers: { address: LOOPBACK, port: plan.callersPort },
      operators: { address: LOOPBACK, port: plan.operatorsPort },
      peers: {
        address: LOOPBACK,
        port: plan.peersPort,
        known: await Promise.all(
          planned.filter((p) => p !== plan).map(async (p) => ({
            host: p.host,
            domain: p.domain,
            url: await getPeerUrl(plan, p),
          })),
        ),
      },
      platform: { url: options.platformUrl },
      ...options.settings,
    };
    const settingsFile = join(dir, `${plan.host}.yaml`);
    writeFileSync(settingsFile, stringify(settings));
    const child = options.run([
      ...options.hostProgram ?? DEFAULT_HOST_PROGRAM,
      settingsFile,
    ]);
    await readFirstLine(child);
    const callersUrl = `ws://${LOOPBACK}:${plan.callersPort}`;
    return { host: plan.host, callersUrl, settingsFile, settings, child };
  }));
}

/** Resolves with the first line that a process prints when it is ready. */
export function readFirstLine(child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = "";
    const timer = setTimeout(
      () => reject(new Error("child process was not ready in time")),
      READY_TIMEOUT_MS,
    );
    child.stdout?.on("data", (chunk) => {
      text += chunk;
      const end = text.indexOf("\n");
      if (end >= 0) {
        clearTimeout(timer);
        resolve(text.slice(0, end));
      }
    });
    child.once("exit", (code) => {
      clearTimeout(timer);
      reject(
        new Error(`child process exited with code ${code} before it was ready`),
      );
    });
  });
}

/** Kills a process and waits until it has exited. */
export function killProcess(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}

/** Ports are picked below the range of ephemeral ports. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Returns distinct free ports. */
async function findPorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    ports.add(await findPort());
  }
  return [...ports];
}

/** Returns a random port, outside the ephemeral range, that is not in use. */
function findPort(): Promise<number> {
  const port = FIRST_PORT +
    Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(findPort()));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(port)));
  });
}
