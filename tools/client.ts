/** WebSocket client of a host: one session with concurrent requests. */

import type { Buffer } from "node:buffer";
import { WebSocket } from "ws";
import type { AnswerFrame } from "../src/core/answer.ts";
import type { RequestFrame } from "../src/core/entry.ts";

const CONNECT_TIMEOUT_MS = 3_000;

/** Session of a caller at one host. */
export interface Client {
  /** Resolves with the answer; undefined on timeout or a closed connection. */
  request(
    frame: RequestFrame,
    timeoutMs: number,
  ): Promise<AnswerFrame | undefined>;
  isOpen(): boolean;
  /** Session token of the latest answer; empty before the first one. */
  readonly token: string;
  close(): void;
}

/** Opens a session; undefined if the host refuses it or does not answer. */
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
        // The host shuts down: requests in flight are still answered.
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
