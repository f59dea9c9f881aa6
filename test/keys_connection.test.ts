import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import { Err, Ok } from "ts-results-es";
import { expect, test } from "vitest";
import type { Entry } from "../src/core/entry.ts";
import { createCallerServer } from "../src/host/caller_server.ts";

test("an HTTP connection is closed after one wrong key", async () => {
  const entry: Entry = {
    open: ({ key }) =>
      key === "good"
        ? Ok({
          request: ({ id }) =>
            Promise.resolve({
              kind: "failed",
              id,
              failure: { error: "unavailable" },
              token: "",
            }),
          end() {},
        })
        : Err({ error: "unauthenticated" }),
  };
  const server = createCallerServer({ entry }, {
    address: "127.0.0.1",
    port: 0,
  });
  const port = await server.listen();
  const agent = new Agent({ keepAlive: true });

  async function requestWithKey(key: string): Promise<string | undefined> {
    const req = request({
      agent,
      host: "127.0.0.1",
      port,
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
    });
    req.end(JSON.stringify({
      kind: "read",
      id: "1",
      service: "s",
      class: "c",
      body: 1,
    }));
    const [res] = await once(req, "response") as [IncomingMessage];
    res.resume();
    return res.headers.connection;
  }

  expect([
    await requestWithKey("good"),
    await requestWithKey("wrong"),
    await requestWithKey("good"),
  ])
    .toEqual(["keep-alive", "close", "keep-alive"]);
  agent.destroy();
  server.close();
});
