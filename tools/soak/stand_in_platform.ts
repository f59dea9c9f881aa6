/** Store, targets and promotion endpoint that a soak's hosts run against. */

import { createServer as createHttpServer, type Server } from "node:http";
import type { Server as SocketServer } from "node:net";
import { CATALOG_KEY } from "../../platform/decode_catalog.ts";
import { TARGET_KIND } from "../../platform/decode_target.ts";
import { nowMs } from "../../src/core/clock.ts";
import {
  asId,
  type DomainId,
  type ObjectKey,
  type TargetId,
} from "../../src/core/ids.ts";
import type { Catalog } from "../../src/pooling/types.ts";
import {
  createPlatformCore,
  type PlatformCore,
} from "../../standins/platform_core.ts";
import {
  createPlatformServer,
  type PlatformFaults,
} from "../../standins/platform_server.ts";
import { listen, readJson } from "../../standins/serve.ts";
import {
  createStatementGroup,
  type StatementGroup,
} from "../../standins/statement_group.ts";
import { createStatementServer } from "../../standins/statement_server.ts";
import { encodeCatalog, encodeTarget } from "../../standins/wire_objects.ts";
import { HEARTBEAT_MS, LAPSE_INTERVALS } from "./bounds.ts";
import type { Promotion } from "./history.ts";
import { type LinkProxy, startProxy } from "./proxy.ts";

/** How often targets report a change of their role. */
const REPORT_INTERVAL_MS = 100;
const WORK_MS = 5;
const SLOW_WORK_MS = 400;

/** Items with this prefix take a target long to read or write. */
export const SLOW_ITEM = "slow";
/** Items with this prefix have long rows. */
export const LONG_ITEM = "long";
/** Added to the rows of long items. */
export const ROW_PADDING = ".".repeat(300_000);

/** Group of the platform with its connections. */
export interface SoakGroup {
  readonly service: string;
  readonly group: StatementGroup;
  /** Links of hosts to the targets. */
  readonly links: readonly LinkProxy[];
}

/** Platform of a run. */
export interface SoakPlatform {
  readonly groups: readonly SoakGroup[];
  readonly storePort: number;
  readonly ordersPort: number;
  readonly promotions: readonly Promotion[];
  setCatalog(catalog: Catalog): void;
  setStoreFaults(faults: PlatformFaults): Promise<void>;
  close(): void;
}

/** Starts the platform in this process. */
export async function startPlatform(options: {
  readonly services: readonly string[];
  readonly targetsPerGroup: number;
  readonly domains: readonly string[];
  readonly maxConnections: number;
  readonly draw: (below: number) => number;
}): Promise<SoakPlatform> {
  const core = createPlatformCore({ versionsAreRevisions: true });
  const servers: SocketServer[] = [];
  const promotions: Promotion[] = [];
  const reports: (() => void)[] = [];
  let isStoreDown = false;

  async function serve(server: SocketServer): Promise<number> {
    servers.push(server);
    return await listen(server, 0);
  }

  const groups = options.services.map((service) =>
    createStatementGroup({
      service: asId(service),
      ids: Array.from(
        { length: options.targetsPerGroup },
        (_, i) => `${service}-t${i}`,
      ),
      maxConnections: options.maxConnections,
      workMs: (text) => text.includes(` ${SLOW_ITEM}`) ? SLOW_WORK_MS : WORK_MS,
      getPadding: (text) => text.includes(` ${LONG_ITEM}`) ? ROW_PADDING : "",
    })
  );
  const soakGroups = await Promise.all(groups.map(async (group, index) => {
    const links = await Promise.all(group.targets.map(async ({ record }, i) => {
      const port = await serve(createStatementServer(group, record.id));
      const link = await startProxy(port, options.draw);
      reports.push(createReporter({
        core,
        group,
        id: record.id,
        address: `127.0.0.1:${link.port}`,
        domain: options.domains[i % options.domains.length]!,
      }));
      return link;
    }));
    return { service: options.services[index]!, group, links };
  }));
  const report = () => {
    if (!isStoreDown) {
      reports.forEach((reportTarget) => reportTarget());
    }
  };
  const timer = setInterval(report, REPORT_INTERVAL_MS);
  report();
  const storePort = await serve(createPlatformServer(core));
  const ordersPort = await serve(createOrderServer(soakGroups, promotions));
  return {
    groups: soakGroups,
    storePort,
    ordersPort,
    promotions,
    setCatalog(catalog) {
      put(core, { key: asId(CATALOG_KEY), value: encodeCatalog(catalog) });
    },
    async setStoreFaults(faults) {
      isStoreDown = faults.down === true;
      await fetch(`http://127.0.0.1:${storePort}/control/faults`, {
        method: "POST",
        body: JSON.stringify(faults),
      });
    },
    close() {
      clearInterval(timer);
      soakGroups.forEach(({ links }) => links.forEach((link) => link.close()));
      servers.forEach((server) => server.close());
    },
  };
}

function put(
  core: PlatformCore,
  { key, value }: { readonly key: ObjectKey; readonly value: unknown },
): void {
  core.put(key, value, { ifVersion: core.get(key).version }).unwrap();
}

/** Returns a function that keeps the registration of a target up to date. */
function createReporter(options: {
  readonly core: PlatformCore;
  readonly group: StatementGroup;
  readonly id: TargetId;
  readonly address: string;
  readonly domain: string;
}): () => void {
  const { core, group, id, address, domain } = options;
  const key = asId<ObjectKey>(TARGET_KIND + id);
  const target = group.targets.find(({ record }) => record.id === id)!;
  let reportedAt = nowMs();
  return () => {
    const current = core.get(key);
    if (target.faults.isUnresponsive) {
      const silentMs = nowMs() - reportedAt;
      if (current.version > 0 && silentMs > LAPSE_INTERVALS * HEARTBEAT_MS) {
        core.remove(key);
      }
      return;
    }
    reportedAt = nowMs();
    const entry = encodeTarget({
      ...target.record,
      address,
      domain: asId<DomainId>(domain),
      role: target.role,
    });
    if (JSON.stringify(current.value) !== JSON.stringify(entry)) {
      put(core, { key, value: entry });
    }
  };
}

/** Serves orders to promote; refuses outdated fencing tokens. */
function createOrderServer(
  groups: readonly SoakGroup[],
  promotions: Promotion[],
): Server {
  return createHttpServer(async (req, res) => {
    const { service, id } = await readJson(req) as {
      service: string;
      id: TargetId;
    };
    const fencingToken = Number(req.headers["fence-token"]);
    const group = groups.find((entry) => entry.service === service)?.group;
    const target = group?.targets.find(({ record }) => record.id === id);
    const result = group && target && !target.faults.isUnresponsive
      ? await group.promote(id, fencingToken)
      : undefined;
    const isAccepted = result?.kind === "accepted";
    promotions.push({
      service,
      target: id,
      holder: `${req.headers["lease-holder"]}`,
      fencingToken,
      isAccepted,
    });
    res.writeHead(isAccepted ? 200 : 409).end();
  });
}
