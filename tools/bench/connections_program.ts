/** Opens sessions at a host and keeps them idle until the program ends. */

import type { Buffer } from "node:buffer";
import process from "node:process";
import { cac } from "cac";
import { WebSocket } from "ws";

const MAX_CONCURRENT_OPENS = 50;

function openSession(url: string, key: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const ws = new WebSocket(url, { perMessageDeflate: false });
    ws.on("error", reject);
    ws.on("open", () => ws.send(JSON.stringify({ kind: "hello", key })));
    ws.on("message", (data: Buffer) => {
      if (JSON.parse(data.toString("utf8")).ok) {
        resolve();
      }
    });
  });
}

const cli = cac("connections_program");
cli.command("<url>", "Keep idle sessions open at a host")
  .option("--key <key>", "API key of the caller", { default: "" })
  .option("--count <n>", "Number of sessions", { default: 5_000 })
  .action(async (url: string, { key, count }) => {
    let opened = 0;
    async function openSessions(): Promise<void> {
      while (opened < count) {
        opened++;
        await openSession(url, key);
      }
    }
    await Promise.all(
      Array.from({ length: MAX_CONCURRENT_OPENS }, openSessions),
    );
    console.log(opened);
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
