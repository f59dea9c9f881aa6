import debug from "debug";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { mergeStatuses } from "../src/cli/fleet_status.ts";
import { renderFleet } from "../src/cli/status_tables.ts";
import { createLog } from "../src/host/log.ts";
import {
  MAX_CLASSES_PER_WORKSPACE,
  MAX_WORKSPACES,
} from "../src/host/metric_labels.ts";
import {
  createMetrics,
  type HostMetrics,
  readSamples,
} from "../src/host/metrics.ts";
import {
  createOperatorsServer,
  type OperatorsServer,
} from "../src/host/operators_server.ts";
import {
  getHostStatus,
  type HostState,
  type HostStatus,
} from "../src/host/status.ts";
import { renderStatusPage } from "../src/host/status_page.ts";
import {
  createGetFrame,
  createPutFrame,
  settle,
  startTestFleet,
} from "./fleet.ts";

let metrics: HostMetrics;
let server: OperatorsServer;
let state: HostState;
let url: string;
const drain = vi.fn();

/** Time after which a failover is complete and old reports are stale. */
const FAILOVER_MS = 7_000;

beforeEach(async () => {
  metrics = createMetrics();
  state = "serving";
  drain.mockClear();
  server = createOperatorsServer({
    metrics,
    refreshGauges() {},
    getState: () => state,
    getStatus: () => Promise.reject(new Error("fault")),
    drain,
  }, { address: "127.0.0.1", port: 0 });
  url = `http://127.0.0.1:${await server.listen()}`;
});

afterEach(() => {
  server.close();
  vi.useRealTimers();
});

async function get(path: string, init: RequestInit = {}): Promise<string> {
  const res = await fetch(`${url}${path}`, init);
  return `${res.status} ${(await res.text()).trim()}`;
}

/** Replaces log positions, which depend on timing. */
function withFixedLogPositions(status: HostStatus): HostStatus {
  const groups = status.groups.map((group) => ({
    ...group,
    targets: group.targets.map((target) => ({
      ...target,
      logEnd: { term: 1, pos: 5 },
      lagEntries: target.role === "primary" ? 0 : 2,
    })),
  }));
  return { ...status, groups };
}

test("health, readiness and failures are shown by the HTTP status", async () => {
  const answers = [await get("/healthz"), await get("/readyz")];
  state = "draining";
  answers.push(await get("/healthz"), await get("/readyz"));
  answers.push(await get("/status"), await get("/nowhere"));
  answers.push(await get("/status", { method: "PUT" }));
  expect(answers).toMatchInlineSnapshot(`
    [
      "200 ok",
      "200 ready",
      "200 ok",
      "503 draining",
      "500 failed",
      "404 no such page",
      "405 only GET",
    ]
  `);
});

test("only a POST without an Origin header drains a host", async () => {
  expect(await get("/drain")).toMatch(/^405/);
  const headers = { origin: "http://elsewhere" };
  expect(await get("/drain", { method: "POST", headers })).toMatch(/^403/);
  expect(drain).not.toHaveBeenCalled();
  expect(await get("/drain", { method: "POST" })).toMatch(/^202/);
  expect(drain).toHaveBeenCalledOnce();
});

test("the number of label values that come from callers is limited", async () => {
  const count = MAX_WORKSPACES + 50;
  for (let index = 0; index < count; index++) {
    const labels = { workspace: "archive", class: `class_${index}` };
    metrics.observe("request_ms", 1, labels);
    metrics.count("requests_total", {
      workspace: `w${index}`,
      class: "payment",
    });
  }
  const requests = await readSamples(metrics, "requests_total");
  expect(requests.length).toBeLessThanOrEqual(MAX_WORKSPACES);
  const samples = await readSamples(metrics, "request_ms");
  const classes = new Set(samples.map((sample) => sample.labels.class));
  expect(classes.size).toBe(MAX_CLASSES_PER_WORKSPACE + 1);
  expect(metrics.usage.list().length)
    .toBeLessThanOrEqual(MAX_WORKSPACES + 1);
});

test("a metric accepts labels that differ from those of its first use", async () => {
  metrics.count("refusals_total", { error: "overloaded" });
  metrics.count("refusals_total", { error: "overloaded", workspace: "w" });
  const samples = await readSamples(metrics, "refusals_total");
  expect(samples.map((sample) => sample.value)).toEqual([2]);
});

test("API keys of callers are redacted in the log", () => {
  const lines: string[] = [];
  const originalLog = debug.log;
  debug.log = (...args: unknown[]) => void lines.push(args.join(" "));
  debug.enable("turmericchute:*");
  const key = `tck_${"0".repeat(18)}_${"a".repeat(48)}`;
  createLog(metrics)({
    component: "entry",
    event: "refused",
    fields: { detail: `unknown key ${key}` },
  });
  debug.disable();
  debug.log = originalLog;
  expect(lines.join("\n")).toContain("unknown key [key]");
  expect(lines.join("\n")).not.toContain("aaaa");
});

test("a partitioned primary is not shown as primary", async () => {
  vi.useFakeTimers();
  const fleet = await startTestFleet();
  fleet.getTarget("ordering-1-1").faults = { cutFrom: ["*"] };
  await vi.advanceTimersByTimeAsync(FAILOVER_MS);
  const { host, settings } = fleet.getHost("h1");
  const status = await getHostStatus({
    host,
    settings,
    metrics,
    startedAt: 0,
    state: "serving",
    connections: 0,
  });
  const group = status.groups.find((g) => g.group === "ordering-1");
  const roles = group?.targets.map((target) => target.role);
  expect(roles?.[0]).toBe("silent");
  expect(roles?.filter((role) => role === "primary")).toHaveLength(1);
  fleet.stop();
});

test("the status of a fleet shows groups, hosts and use", async () => {
  vi.useFakeTimers();
  const fleet = await startTestFleet();
  const session = fleet.openSession("h1");
  await settle(session.request(createPutFrame("k", 1)));
  await settle(session.request(createGetFrame("k")));
  for (let index = 0; index < 12; index++) {
    metrics.count("requests_total", {
      workspace: "archive",
      class: "<script>",
    });
    metrics.observe("request_ms", 7, {
      workspace: "archive",
      class: "<script>",
    });
  }
  metrics.count("refusals_total", {
    workspace: "archive",
    error: "rate_limited",
  });
  const { host, settings } = fleet.getHost("h1");
  const status = await getHostStatus({
    host,
    settings,
    metrics,
    startedAt: 0,
    state: "serving",
    connections: 3,
  });
  const page = renderStatusPage(status);
  expect(page).toContain("ordering-1-1");
  expect(page).toContain("&lt;script&gt;");
  expect(page).not.toContain("<script");
  const merged = mergeStatuses([
    withFixedLogPositions(status),
    withFixedLogPositions(status),
  ]);
  expect(renderFleet(merged)).toMatchSnapshot();
  fleet.stop();
});
