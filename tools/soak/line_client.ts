/** Client of the line protocol that sends messages in order. */

import { connect, type Socket } from "node:net";
import { createLineReader } from "../../platform/line_reader.ts";

/** Answer to a message, as far as it arrived. */
export interface LineAnswer {
  /** Lines up to and including READY, or up to the end of the connection. */
  readonly lines: readonly string[];
  readonly isComplete: boolean;
}

/** Connection of a client that sends messages in order. */
export interface LineClient {
  readonly socket: Socket;
  /** Sends START; a complete answer is READY or ERR. */
  start(database: string): Promise<LineAnswer>;
  /** Sends QUERY; a complete answer ends with READY. */
  query(id: string, text: string): Promise<LineAnswer>;
  /** Lines that answer none of the client's messages. */
  readonly unsolicited: readonly string[];
  /** Resolves when the host has ended the connection or reset it. */
  readonly ended: Promise<void>;
}

/** Connects to a pool host; `key` is presented when a session starts. */
export function createLineClient(
  port: number,
  options: { readonly key: string; readonly allowHalfOpen?: boolean },
): LineClient {
  const { key, allowHalfOpen = false } = options;
  const socket = connect({ host: "127.0.0.1", port, allowHalfOpen });
  const reader = createLineReader();
  const waiting: { lines: string[]; resolve(answer: LineAnswer): void }[] = [];
  const unsolicited: string[] = [];
  let isEnded = false;
  let resolveEnded: () => void;
  const ended = new Promise<void>((resolve) => resolveEnded = resolve);

  function end(): void {
    isEnded = true;
    resolveEnded();
    for (const { lines, resolve } of waiting.splice(0)) {
      resolve({ lines, isComplete: false });
    }
  }

  socket.setEncoding("latin1");
  socket.setNoDelay(true);
  socket.on("error", end);
  socket.on("end", end);
  socket.on("close", end);
  socket.on("data", (chunk: string) => {
    reader.push(chunk);
    for (let line; (line = reader.tryNext()) !== undefined;) {
      const current = waiting[0];
      (current?.lines ?? unsolicited).push(line);
      if (current && line.startsWith("READY")) {
        waiting.shift();
        current.resolve({ lines: current.lines, isComplete: true });
      }
    }
  });

  function send(text: string): Promise<LineAnswer> {
    return new Promise((resolve) => {
      if (isEnded) {
        resolve({ lines: [], isComplete: false });
        return;
      }
      waiting.push({ lines: [], resolve });
      socket.write(`${text}\r\n`, "latin1");
    });
  }

  return {
    socket,
    async start(database) {
      const answer = await send(`START ${database} ${key}`);
      const isRefused = answer.lines[0]?.startsWith("ERR") === true;
      return { ...answer, isComplete: answer.isComplete || isRefused };
    },
    query: (id, text) => send(`QUERY ${id} ${text}`),
    unsolicited,
    ended,
  };
}
