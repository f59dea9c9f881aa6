/** What the stand-in programs share: a JSON control port and faults. */

import { createServer, type IncomingMessage, type Server } from "node:http";

/** Reads the body of a request as JSON; an empty body is undefined. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of req) {
    text += chunk;
  }
  return text === "" ? undefined : JSON.parse(text);
}

/** Answers a route with a value that is written as JSON. */
export type JsonHandler = (
  url: URL,
  req: IncomingMessage,
) => Promise<JsonResponse> | JsonResponse;

/** The answer of a route; without a status it is 200. */
export interface JsonResponse {
  readonly status?: number;
  readonly body: unknown;
}

/** Creates an HTTP server that answers with JSON. */
export function createJsonServer(handler: JsonHandler): Server {
  return createServer(async (req, res) => {
    const url = new URL(req.url ?? "/", "http://standin");
    try {
      const { status = 200, body } = await handler(url, req);
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(body ?? null));
    } catch (err) {
      res.writeHead(400, { "content-type": "application/json" });
      res.end(JSON.stringify({ error: `${err}` }));
    }
  });
}

/** Listens on loopback and resolves with the port. */
export function listen(server: Server, port: number): Promise<number> {
  return new Promise((resolve) =>
    server.listen(port, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : port);
    })
  );
}
