/** A caller: one WebSocket session with many requests in flight. */

import type { Buffer } from "node:buffer";
import { WebSocket } from "ws";
import type { AnswerFrame } from "../src/core/answer.ts";
import type { RequestFrame } from "../src/core/entry.ts";

const CONNECT_TIMEOUT_MS = 3_000;

/** A session of a caller at one host. */
export interface Client {
  /** Resolves with the answer, or undefined when none came in time. */
  request(
    frame: RequestFrame,
    timeoutMs: number,
  ): Promise<AnswerFrame | undefined>;
  isOpen(): boolean;
  readonly token: string;
  close(): void;
}

/** Opens a session; undefined if the host does not take it. */
export function tryConnect(
  url: string,
  options: { readonly key?: string; readonly token?: string },
): Promise<Client | undefined> {
  return new Promise((resolve) => {
    const ws = new WebSocket(url, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    const pending = new Map<string, (frame?: AnswerFrame) => void>();
    let token = options.token ?? "";
    let isDraining = false;

    const client: Client = {
      request: (frame, timeoutMs) =>
        new Promise((resolveAnswer) => {
          if (ws.readyState !== WebSocket.OPEN) {
            resolveAnswer(undefined);
            return;
          }
          const timer = setTimeout(() => settle(), timeoutMs);
          function settle(answer?: AnswerFrame): void {
            clearTimeout(timer);
            pending.delete(frame.id);
            resolveAnswer(answer);
          }
          pending.set(frame.id, settle);
          ws.send(JSON.stringify(frame));
        }),
      isOpen: () => ws.readyState === WebSocket.OPEN && !isDraining,
      get token() {
        return token;
      },
      close: () => ws.terminate(),
    };
    ws.on("open", () => {
      const hello = { kind: "hello", key: options.key };
      ws.send(JSON.stringify(token ? { ...hello, token } : hello));
    });
    ws.on("message", (data: Buffer) => {
      const frame = JSON.parse(data.toString("utf8")) as AnswerFrame;
      if (frame.id === "") {
        // The host is stopping: what is in flight is still answered.
        isDraining ||= !frame.ok && frame.error === "shutting_down";
        resolve(frame.ok ? client : undefined);
        return;
      }
      token = frame.token || token;
      pending.get(frame.id)?.(frame);
    });
    ws.on("error", () => ws.terminate());
    ws.on("close", () => {
      resolve(undefined);
      [...pending.values()].forEach((settle) => settle());
    });
  });
}
