/** WebSocket echo server that decodes and re-encodes each MessagePack frame. */

import type { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { pack, unpack } from "msgpackr";
import { WebSocketServer } from "ws";
import { listen } from "../../standins/serve.ts";

const server = createServer();
const wss = new WebSocketServer({ server, perMessageDeflate: false });
wss.on("connection", (ws) => {
  ws.on("message", (data: Buffer) => ws.send(pack(unpack(data))));
});
console.log(await listen(server, 0));
