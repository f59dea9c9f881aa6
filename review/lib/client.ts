/** Client of the line protocol that can send a message in parts. */

import { connect, type Socket } from "node:net";

/** Answer up to READY; `undefined` if the connection ended before. */
export type Answer = readonly string[] | undefined;

/** Connection of a consumer. */
export interface Client {
  readonly socket: Socket;
  /** Sends a part of a message. */
  write(text: string): void;
  /** Waits for the answer to the oldest message without one. */
  receive(): Promise<Answer>;
  /** Sends a whole message and waits for its answer. */
  ask(line: string): Promise<Answer>;
}

/** Connects to a host. */
export function createClient(port: number): Client {
  const socket = connect({ host: "127.0.0.1", port });
  const answers: Answer[] = [];
  const waiting: ((answer: Answer) => void)[] = [];
  let buffer = "";
  let lines: string[] = [];
  let isEnded = false;

  function deliver(answer: Answer): void {
    const resolve = waiting.shift();
    if (resolve) {
      resolve(answer);
    } else {
      answers.push(answer);
    }
  }

  function end(): void {
    if (!isEnded) {
      isEnded = true;
      // A line without READY behind it, such as why the session ended.
      if (lines.length > 0) {
        deliver(lines);
      }
      waiting.splice(0).forEach((resolve) => resolve(undefined));
    }
  }

  socket.setEncoding("utf8");
  socket.setNoDelay(true);
  socket.on("error", end);
  socket.on("end", end);
  socket.on("close", end);
  socket.on("data", (chunk: string) => {
    buffer += chunk;
    for (let at; (at = buffer.indexOf("\r\n")) >= 0;) {
      const line = buffer.slice(0, at);
      buffer = buffer.slice(at + 2);
      lines.push(line);
      if (line.startsWith("READY")) {
        deliver(lines);
        lines = [];
      }
    }
  });

  function receive(): Promise<Answer> {
    const first = answers.shift();
    return first || isEnded
      ? Promise.resolve(first)
      : new Promise((resolve) => waiting.push(resolve));
  }

  function write(text: string): void {
    if (!isEnded) {
      socket.write(text);
    }
  }

  return {
    socket,
    write,
    receive,
    ask(line) {
      write(`${line}\r\n`);
      return receive();
    },
  };
}
