import type { Buffer } from "node:buffer";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { type AddressInfo, connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import process from "node:process";
import { pack, unpack } from "msgpackr";
import { WebSocketServer } from "ws";
import { stringify } from "yaml";
import { runCli } from "../src/cli/cli.ts";
import { DIAGNOSTICS } from "../src/core/diagnostics.ts";
import { asId, type TargetId } from "../src/core/ids.ts";
import type { TargetStatus } from "../src/core/types.ts";
import type { TargetCall } from "../src/host/target_driver.ts";
import { createPlatformServer } from "../standins/platform_server.ts";
import { listen } from "../standins/serve.ts";
import { type Client, tryConnect } from "../tools/client.ts";
import {
  buildGroups,
  buildPlans,
  buildServices,
  LAKAZ,
} from "../tools/workloads.ts";
import { createPutFrame } from "./fleet.ts";
import { findPort } from "./ports.ts";

const ANSWER_TIMEOUT_MS = 60_000;

let platform: Server;
let platformUrl: string;
let tempDir: string;
let targets: WebSocketServer | undefined;

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function run(...args: readonly string[]): Promise<CommandResult> {
  const out: string[] = [];
  const err: string[] = [];
  const argv = ["node", "turmericchute", ...args];
  const code = await runCli(argv, {
    print: (line) => out.push(line),
    warn: (line) => err.push(line),
  });
  return { code, out: out.join("\n"), err: err.join("\n") };
}

function runWithPlatform(...args: readonly string[]): Promise<CommandResult> {
  return run(...args, "--platform", platformUrl);
}

function writeTempFile(name: string, text: string): string {
  const file = join(tempDir, name);
  writeFileSync(file, text);
  return file;
}

async function applyAll(
  getUrl = (_target: TargetId) => "ws://127.0.0.1:1",
): Promise<void> {
  const groups = buildGroups(LAKAZ, getUrl);
  const lists = {
    groups: { kind: "groups", groups },
    services: buildServices(LAKAZ),
    plans: buildPlans(LAKAZ),
  };
  for (const [list, value] of Object.entries(lists)) {
    const file = writeTempFile(`${list}.yaml`, stringify(value));
    expect(await runWithPlatform(list, "apply", file)).toMatchObject({
      code: 0,
    });
  }
}

beforeEach(async () => {
  platform = createPlatformServer();
  platformUrl = `http://127.0.0.1:${await listen(platform, 0)}`;
  tempDir = mkdtempSync(join(tmpdir(), "turmericchute-cli-"));
});

afterEach(() => {
  platform.close();
  platform.closeAllConnections();
  targets?.clients.forEach((ws) => ws.terminate());
  targets?.close();
  vi.restoreAllMocks();
});

test("each command has help with an example", async () => {
  const info = vi.spyOn(console, "info").mockImplementation(() => {});
  const topLevel = await run("--help");
  expect(topLevel.code).toBe(0);
  const listed = `${info.mock.calls.at(-1)}`.matchAll(/^ {2}([a-z]+) /gm);
  const commands = [...listed].map((match) => match[1]!);
  expect(commands).toEqual([
    "run",
    "check",
    "plans",
    "services",
    "groups",
    "keys",
    "drain",
    "status",
    "load",
    "replay",
    "explain",
  ]);
  for (const command of commands) {
    expect(await run(command, "--help")).toMatchObject({ code: 0 });
    expect(`${info.mock.calls.at(-1)}`).toContain(`turmericchute ${command} `);
  }
});

test("wrong usage exits with 2 and says why", async () => {
  vi.stubEnv("TURMERICCHUTE_PLATFORM", "");
  vi.stubEnv("TURMERICCHUTE_OPERATORS", "");
  const usages = [
    ["stats"],
    ["frobnicate"],
    ["check"],
    ["check", "host.yaml", "--jsn"],
    ["plans", "show"],
    ["plans", "aply", "--platform", platformUrl],
    ["plans", "apply", "--platform", platformUrl],
    ["keys", "issue", "--platform", platformUrl],
    ["drain", "rack", "r1"],
    ["status"],
  ];
  const outcomes = [];
  for (const usage of usages) {
    const { code, err } = await run(...usage);
    outcomes.push(`${code} ${err}`);
  }
  expect(outcomes).toMatchInlineSnapshot(`
    [
      "2 no such command: stats, did you mean status?",
      "2 no such command: frobnicate",
      "2 missing required args for command \`check <settings>\`",
      "2 Unknown option \`--jsn\`",
      "2 name the platform by --platform URL, --settings FILE or TURMERICCHUTE_PLATFORM",
      "2 no such action: aply, allowed: apply, show, diff",
      "2 the name of a file, or - for the standard input, is missing",
      "2 the name of a workspace is missing",
      "2 no such action: rack, allowed: target, host",
      "2 name the operators' ports by --url URL, --settings FILE or TURMERICCHUTE_OPERATORS",
    ]
  `);
});

test("a settings file with ten problems is reported in ten lines", async () => {
  const file = writeTempFile(
    "host.yaml",
    stringify({
      host: "H 1",
      domain: 7,
      callers: { adress: "127.0.0.1", port: 70_000 },
      peers: { address: "127.0.0.1", port: "many" },
      platform: { url: "ftp://store" },
      requests: { defaultTimeoutMs: 500, maxTimeoutMs: 100 },
      watchdog: true,
    }),
  );
  const checked = await run("check", file);
  expect(checked.code).toBe(2);
  expect(checked.err.split("\n")).toHaveLength(10);
  expect(checked.err).not.toContain("    at ");
  expect((await run("run", file)).err).toBe(checked.err);
});

test("lists are applied, shown and compared", async () => {
  await applyAll();
  const shown = await runWithPlatform("plans", "show");
  const file = writeTempFile("plans.yaml", shown.out);
  expect(await runWithPlatform("plans", "diff", file)).toMatchObject({
    code: 0,
    out: "",
  });
  const changed = shown.out.replace("plan-5", "plan-10")
    .replace("  - workspace: litigants\n    plan: plan-20\n", "");
  writeTempFile("plans.yaml", changed);
  const diff = await runWithPlatform("plans", "diff", file, "--exit-code");
  expect(diff).toMatchInlineSnapshot(`
    {
      "code": 1,
      "err": "",
      "out": "- workspaces.litigants: {"workspace":"litigants","plan":"plan-20"}
    ~ workspaces.archive.plan: "plan-5" -> "plan-10"",
    }
  `);
  const applied = await runWithPlatform("plans", "apply", file, "--json");
  expect(JSON.parse(applied.out)).toMatchObject({ list: "plans" });
  const again = await runWithPlatform("plans", "diff", file, "--exit-code");
  expect(again).toMatchObject({ code: 0, out: "" });
});

test("a list that changed after the file was written is not overwritten", async () => {
  await applyAll();
  const shown = (await runWithPlatform("plans", "show")).out;
  const first = writeTempFile("first.yaml", shown.replace("plan-5", "plan-10"));
  const second = writeTempFile(
    "second.yaml",
    shown.replace("plan-5", "plan-60"),
  );
  expect(await runWithPlatform("plans", "apply", first)).toMatchObject({
    code: 0,
  });
  const conflicting = await runWithPlatform("plans", "apply", second);
  expect(conflicting.code).toBe(1);
  expect(conflicting.err.replace(/version \d+/, "version N"))
    .toMatchInlineSnapshot(`
    "plans was changed since the file was written and is at version N; differences from the file to the stored list:
    ~ workspaces.archive.plan: "plan-60" -> "plan-10""
  `);
});

test("an invalid list is rejected with all its problems", async () => {
  await applyAll();
  const file = writeTempFile(
    "services.yaml",
    stringify({
      plans: [
        { plan: "plan-5", ratePersecond: 5, burst: 0, services: [] },
        { plan: "Plan 10", ratePerSecond: -1, burst: 1, services: [] },
      ],
    }),
  );
  const refused = await runWithPlatform("services", "apply", file);
  expect(refused.code).toBe(2);
  expect(refused.err.replaceAll(file, "services.yaml"))
    .toMatchInlineSnapshot(`
      "services.yaml: plans[0].ratePerSecond: found nothing, required: a number above 0 [TC1005]
      services.yaml: plans[0].ratePersecond: found an unknown key, did you mean ratePerSecond? allowed: plan, ratePerSecond, burst, services [TC1004]
      services.yaml: plans[0].burst: found 0, allowed: a number of at least 1 [TC1006]
      services.yaml: plans[1].plan: found "Plan 10", allowed: text that matches ^[a-z0-9][a-z0-9-]*$ [TC1006]
      services.yaml: plans[1].ratePerSecond: found -1, allowed: a number above 0 [TC1006]"
    `);
});

test("a list that contradicts another list is rejected", async () => {
  await applyAll();
  const file = writeTempFile(
    "plans.yaml",
    "workspaces: [{ workspace: archive, plan: plan-7 }]\n",
  );
  const refused = await runWithPlatform("plans", "apply", file);
  expect(refused).toMatchInlineSnapshot(`
    {
      "code": 2,
      "err": "plans.workspaces[0].plan: found "plan-7", allowed: plan-60, plan-30, plan-20, plan-10, plan-5",
      "out": "",
    }
  `);
});

test("keys are issued, rotated, withdrawn and listed", async () => {
  await applyAll();
  const issued = await runWithPlatform("keys", "issue", "archive");
  expect(issued.code).toBe(0);
  expect(issued.out).toMatch(/^tck_[0-9a-f]{18}_[0-9a-f]{48}$/);
  const keyId = issued.out.split("_")[1]!;
  const rotated = JSON.parse(
    (await runWithPlatform("keys", "rotate", keyId, "--json")).out,
  );
  expect(rotated).toMatchObject({ workspace: "archive" });
  const withdrawn = await runWithPlatform("keys", "withdraw", keyId);
  expect(withdrawn).toMatchObject({ code: 0 });
  const listed = await runWithPlatform("keys", "list", "archive", "--json");
  const records = JSON.parse(listed.out);
  expect(records).toHaveLength(2);
  expect(records[0].keyId).toBe(keyId);
  expect(records[0].withdrawnAt).toBeDefined();
  expect(records[1].keyId).toBe(rotated.keyId);
  expect(listed.out).not.toContain("hash");
  expect(await runWithPlatform("keys", "issue", "nobody")).toMatchObject({
    code: 1,
    err: "there is no nobody",
  });
});

test("a target is drained and returned to service", async () => {
  await applyAll();
  const args = ["drain", "target", "ordering-1-2"];
  expect(await runWithPlatform(...args)).toMatchObject({ code: 0 });
  expect((await runWithPlatform("groups", "show")).out).toContain(
    "leaving: true",
  );
  expect(await runWithPlatform(...args, "--undo")).toMatchObject({ code: 0 });
  expect((await runWithPlatform("groups", "show")).out)
    .not.toContain("leaving: true");
  expect(await runWithPlatform("drain", "target", "none")).toMatchObject({
    code: 1,
  });
});

test("an unreachable platform gives exit code 1", async () => {
  platform.close();
  platform.closeAllConnections();
  const outcome = await runWithPlatform("plans", "show");
  expect(outcome).toMatchObject({ code: 1, out: "" });
});

function writeHostSettings(ports: {
  readonly callers: number;
  readonly peers: number;
}): string {
  const address = "127.0.0.1";
  return writeTempFile(
    "host.yaml",
    stringify({
      host: "h1",
      domain: "d1",
      region: "r1",
      callers: { address, port: ports.callers },
      peers: { address, port: ports.peers },
      platform: { url: platformUrl },
    }),
  );
}

// Guards against an exception of the server, and against a host that neither
// serves callers nor ends.
test("a host whose port is in use says so and stops", async () => {
  await applyAll();
  const other = createServer().listen(0, "127.0.0.1");
  await once(other, "listening");
  const { port: callers } = other.address() as AddressInfo;
  const peers = await findPort();
  const outcome = await run("run", writeHostSettings({ callers, peers }));
  other.close();
  expect(outcome).toMatchObject({
    code: 1,
    err: expect.stringContaining("EADDRINUSE"),
  });
  const [err] = await once(connect(peers, "127.0.0.1"), "error");
  expect(err).toMatchObject({ code: "ECONNREFUSED" });
});

/** Connects to a host that is starting. */
async function connectWhenReady(port: number, key: string): Promise<Client> {
  const client = await tryConnect(`ws://127.0.0.1:${port}`, { key });
  return client ?? await connectWhenReady(port, key);
}

/**
 * Starts targets that are found by the path of the URL. The first one of each
 * group leads, and begins statements without ever answering them.
 */
async function startStuckTargets(onStatement: () => void): Promise<number> {
  targets = new WebSocketServer({ port: 0, host: "127.0.0.1" });
  await once(targets, "listening");
  targets.on("connection", (ws, { url }) => {
    const target = asId<TargetId>(/^\/([^/?]+)/.exec(url!)![1]!);
    const status: TargetStatus = {
      target,
      term: 1,
      role: target.endsWith("-1") ? "primary" : "replica",
      logEnd: { term: 0, pos: 0 },
    };
    ws.on("message", (data: Buffer) => {
      const { rid, req } = unpack(data) as TargetCall;
      if (req.kind === "status") {
        ws.send(pack({ rid, ok: status }));
      } else if (req.kind === "write") {
        onStatement();
      }
    });
    ws.send(pack("ready"));
  });
  return (targets.address() as AddressInfo).port;
}

// Guards against a second signal that leaves requests without an answer, and
// against "not run" for a write that a target has begun. The signals come once a
// target has the write: before that, "not run" is a true answer, which a host
// gives as soon as it has missed the targets for a second.
test("a second signal ends a drain with an answer to each request", async () => {
  let isBegun = false;
  let begin = () => {};
  const begun = new Promise<void>((resolve) => begin = resolve);
  const targetPort = await startStuckTargets(() => {
    isBegun = true;
    begin();
  });
  await applyAll((target) => `ws://127.0.0.1:${targetPort}/${target}`);
  const { workspace } = LAKAZ.workspaces[0]!;
  const { out: key } = await runWithPlatform("keys", "issue", workspace);
  const callers = await findPort();
  const file = writeHostSettings({ callers, peers: await findPort() });
  const onProcess = vi.spyOn(process, "on");
  const stopped = run("run", file);
  const client = await connectWhenReady(callers, key);
  const sendSignal = onProcess.mock.calls
    .find(([event]) => event === "SIGTERM")![1] as () => void;
  const write = () =>
    client.request(
      createPutFrame("row", 1, { timeoutMs: ANSWER_TIMEOUT_MS }),
      ANSWER_TIMEOUT_MS,
    );
  let written = write();
  await Promise.race([begun, written]);
  while (!isBegun) {
    expect(await written).toMatchObject({ run: "not_run" });
    written = write();
    await Promise.race([begun, written]);
  }
  sendSignal();
  sendSignal();
  expect(await written).toMatchObject({
    error: "outcome_unknown",
    run: "unknown",
  });
  expect(await stopped).toMatchObject({ code: 0 });
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.off(signal, sendSignal);
  }
});

test("diagnostic codes are unique", () => {
  const codes = Object.values(DIAGNOSTICS).map((diagnostic) => diagnostic.code);
  expect(new Set(codes).size).toBe(codes.length);
});
