/** JSON over HTTP for the stand-in servers. */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Server as SocketServer } from "node:net";

/** Parses the body of a request as JSON; undefined if it is empty. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of req) {
    text += chunk;
  }
  return text === "" ? undefined : JSON.parse(text);
}

/** Handles a request; the result is sent as JSON. */
export type JsonHandler = (
  url: URL,
  req: IncomingMessage,
) => Promise<JsonResponse> | JsonResponse;

/** Response of a handler; `status` defaults to 200. */
export interface JsonResponse {
  readonly status?: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Creates an HTTP server that answers JSON; 400 if the handler throws. */
export function createJsonServer(handler: JsonHandler): Server {
  return createServer(async (req, res) => {
    const url = new URL(req.url ?? "/", "http://standin");
    try {
      const { status = 200, body, headers } = await handler(url, req);
      res.writeHead(status, { "content-type": "application/json", ...headers });
      res.end(JSON.stringify(body ?? null));
    } catch (err) {
      res.writeHead(400, { "content-type": "application/json" });
      res.end(JSON.stringify({ error: `${err}` }));
    }
  });
}

/** Listens on loopback and resolves with the port; 0 picks a free one. */
export function listen(server: SocketServer, port: number): Promise<number> {
  return new Promise((resolve) =>
    server.listen(port, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : port);
    })
  );
}
