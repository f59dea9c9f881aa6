import { createServer, request, type Server } from "node:http";
import { text } from "node:stream/consumers";
import { afterEach, expect, test } from "vitest";
import { nowMs, sleep } from "../src/core/clock.ts";
import { type PoolProcess, startPoolProcess } from "./pool_process.ts";

/** Hosts of a domain from which one reads the store for the others. */
const HOSTS = 8;
/** Time for all hosts to follow the store, in milliseconds. */
const FOLLOW_MS = 20_000;

let pool: PoolProcess | undefined;
afterEach(async () => await pool?.stop());

const DEPTH = 100_000;
/** Stands for a value that is nested so deeply that only its text is at hand. */
const NESTED = "a nested value";
const NESTED_TEXT = `${'{"a":['.repeat(DEPTH)}1${"]}".repeat(DEPTH)}`;

/** Creates a server that passes requests on and puts the nested values in. */
function createNestingRelay(port: number): Server {
  return createServer((req, res) => {
    const { method, url, headers } = req;
    const forwarded = request(
      { host: "127.0.0.1", port, method, path: url, headers },
      async (answer) => {
        const body = await text(answer).catch(() => "");
        res.writeHead(answer.statusCode!, {
          "content-type": "application/json",
        })
          .end(body.replaceAll(JSON.stringify(NESTED), NESTED_TEXT));
      },
    );
    forwarded.on("error", () => res.destroy());
    req.pipe(forwarded);
  });
}

const ENTRY = {
  service: "ledger",
  addr: "127.0.0.1:1",
  zone: "d0",
  version: "1",
  slots: 3,
  state: "ready",
  coldLeftMs: 0,
  seq: 1,
  born: 1,
  dbRole: "replica",
};

/** Returns the hosts that have logged the event with these fields. */
function listLogged(event: string, fields: Readonly<Record<string, unknown>>) {
  return new Set(
    pool!.logLines.filter((line) =>
      line["msg"] === event &&
      Object.entries(fields).every(([name, value]) => line[name] === value)
    ).map(({ host }) => String(host)),
  );
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = nowMs() + FOLLOW_MS;
  while (!isDone() && nowMs() < deadline) {
    await sleep(20);
  }
}

// Guards against an entry of another writer that ends the reader of the store, or
// those that follow it: with fewer hosts none sends what it reads to others.
test(
  "hosts that watch through a reader outlast oddly nested entries",
  async () => {
    pool = await startPoolProcess({
      hosts: HOSTS,
      createStoreRelay: createNestingRelay,
    });
    const all = Array.from({ length: HOSTS }, (_, index) => `h${index + 1}`);
    await waitFor(() => listLogged("store_reader_used", {}).size > HOSTS / 2);
    pool.put("servers", "deep", NESTED);
    pool.put("servers", "deep-field", { ...ENTRY, note: NESTED });
    pool.put("servers", "deep-slots", { ...ENTRY, slots: NESTED });
    pool.put("turmericchute-fleet", "deep", NESTED);
    pool.put("turmericchute-fleet", "host.deep", { incarnation: NESTED });
    pool.put("turmericchute-fleet", "copies.ledger2", { copies: NESTED });
    pool.put("config", "deep", NESTED);
    pool.put("servers", "sound", ENTRY);
    pool.addRoute("later", 2);
    await waitFor(() =>
      listLogged("target_found", { target: "sound" }).size === HOSTS &&
      listLogged("configuration_applied", { version: 2 }).size === HOSTS
    );
    expect(pool.listRunning()).toEqual(all);
    expect([...listLogged("target_found", { target: "sound" })].sort())
      .toEqual(all);
    expect([...listLogged("configuration_applied", { version: 2 })].sort())
      .toEqual(all);
    // What a host does not know does not make an entry invalid.
    expect(listLogged("target_found", { target: "deep-field" }).size).toBe(
      HOSTS,
    );
  },
  60_000,
);
