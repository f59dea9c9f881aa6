import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { formatFileProblem } from "../src/core/file_problems.ts";
import {
  checkSettings,
  loadSettings,
  parseYaml,
} from "../src/host/settings.ts";

const VALID = `
host: h1
domain: curepipe
region: mauritius
callers: { address: 127.0.0.1, port: 7000 }
operators: { address: 127.0.0.1, port: 7001 }
peers:
  address: 127.0.0.1
  port: 7002
  known: [{ host: h2, domain: rose-belle, url: "ws://127.0.0.1:7003" }]
platform: { url: "http://127.0.0.1:7004" }
requests: { defaultTimeoutMs: 5000, maxTimeoutMs: 60000 }
`;

const TEN_PROBLEMS = `
host: Host One
domain: 7
callers: { adress: 127.0.0.1, address: 127.0.0.1, port: 70000 }
peers:
  address: 127.0.0.1
  port: 7002
  known: [{ host: h2, domain: rose-belle, url: "http://127.0.0.1" }]
platform: { url: ftp://store, timeoutMs: soon }
requests: { defaultTimeoutMs: 5000, maxTimeoutMs: 100 }
watchdog: true
`;

function listProblems(text: string): string[] {
  const checked = parseYaml(text).andThen(checkSettings);
  return checked.isOk()
    ? []
    : checked.error.map((problem) => formatFileProblem("host.yaml", problem));
}

test("valid settings have no problems", () => {
  expect(listProblems(VALID)).toEqual([]);
});

test("ten problems are reported in ten lines", () => {
  const lines = listProblems(TEN_PROBLEMS);
  expect(lines).toHaveLength(10);
  expect(lines).toMatchInlineSnapshot(`
    [
      "host.yaml: region: found nothing, required: text that matches ^[a-z0-9][a-z0-9-]*$ [TC1005]",
      "host.yaml: watchdog: found an unknown key, allowed: host, domain, region, callers, operators, peers, platform, requests, pools [TC1003]",
      "host.yaml: host: found "Host One", allowed: text that matches ^[a-z0-9][a-z0-9-]*$ [TC1006]",
      "host.yaml: domain: found 7, allowed: text that matches ^[a-z0-9][a-z0-9-]*$ [TC1006]",
      "host.yaml: callers.adress: found an unknown key, did you mean address? allowed: address, port, maxFrameBytes, maxConnections, tls [TC1004]",
      "host.yaml: callers.port: found 70000, allowed: an integer from 0 to 65535 [TC1006]",
      "host.yaml: peers.known[0].url: found "http://127.0.0.1", allowed: text that matches ^wss?:// [TC1006]",
      "host.yaml: platform.url: found "ftp://store", allowed: text that matches ^https?:// [TC1006]",
      "host.yaml: platform.timeoutMs: found "soon", allowed: an integer from 50 to 60000 [TC1006]",
      "host.yaml: requests.defaultTimeoutMs: found 5000, allowed: at most the value of requests.maxTimeoutMs, 100 [TC1007]",
    ]
  `);
});

test("duplicate ports and hosts are reported", () => {
  const text = VALID.replace("port: 7001", "port: 7000")
    .replace("host: h2", "host: h1");
  expect(listProblems(text)).toMatchInlineSnapshot(`
    [
      "host.yaml: operators.port: found 127.0.0.1:7000, which is already used at callers.port [TC1008]",
      "host.yaml: peers.known[0].host: found h1, which is already used at host [TC1008]",
    ]
  `);
});

test("invalid YAML is reported with line and column", () => {
  const text = "host: h1\nhost: h2\ncallers: [1, 2\n";
  expect(listProblems(text)).toMatchInlineSnapshot(`
    [
      "host.yaml: 2:1: not valid YAML: Map keys must be unique [TC1002]",
      "host.yaml: 4:1: not valid YAML: Flow sequence in block collection must be sufficiently indented and end with a ] [TC1002]",
    ]
  `);
});

test("a document that is not a mapping is reported", () => {
  expect(listProblems("")).toMatchInlineSnapshot(`
    [
      "host.yaml: found null, allowed: a mapping with host, domain, region, callers, operators, peers, platform, requests, pools [TC1006]",
    ]
  `);
  expect(listProblems("- host")).toMatchInlineSnapshot(`
    [
      "host.yaml: found a list, allowed: a mapping with host, domain, region, callers, operators, peers, platform, requests, pools [TC1006]",
    ]
  `);
});

test("a missing file is reported", () => {
  const problems = loadSettings("/nowhere/host.yaml").unwrapErr();
  expect(problems.map((problem) => problem.name)).toEqual(["file_unreadable"]);
});

test("an address other than loopback requires certificates", () => {
  const text = VALID.replace(
    "address: 127.0.0.1, port: 7000",
    "address: 10.0.0.7, port: 7000",
  );
  expect(listProblems(text)).toMatchInlineSnapshot(`
    [
      "host.yaml: callers.tls: found nothing, required: certificates, since 10.0.0.7 is not a loopback address [TC1011]",
    ]
  `);
});

test("unreadable certificates are reported", () => {
  const file = join(mkdtempSync(join(tmpdir(), "settings-")), "host.yaml");
  const tls = "tls: { certFile: /nowhere/h1.crt, keyFile: /nowhere/h1.key }";
  writeFileSync(file, VALID.replace("port: 7000", `port: 7000, ${tls}`));
  const problems = loadSettings(file).unwrapErr();
  expect(problems.map((problem) => problem.path))
    .toEqual(["callers.tls.certFile", "callers.tls.keyFile"]);
});
