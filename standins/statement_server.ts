/** Serves a target of a statement group over the line protocol. */

import { createServer, type Server, type Socket } from "node:net";
import { asId, type ReqId, type TargetId } from "../src/core/ids.ts";
import { assertNever } from "../src/core/errors.ts";
import type {
  Position,
  TargetCommand,
  TargetErrCode,
  TargetLink,
  TargetReply,
} from "../src/pooling/types.ts";
import {
  encodeReady,
  tryDecodePosition,
  tryDecodeStatement,
  tryDecodeText,
} from "../platform/line_codec.ts";
import { createLineReader, splitFields } from "../platform/line_reader.ts";
import type { StatementGroup } from "./statement_group.ts";

/** Wire code for each error code. */
const WIRE_CODES: Readonly<Record<TargetErrCode, string>> = {
  busy: "BUSY",
  lagging: "LAGGING",
  read_only: "READONLY",
  unknown_statement: "NOSTMT",
  wrong_target: "WRONGNODE",
  too_many_connections: "MAXCONN",
  failed: "FAILED",
  timeout: "TIMEOUT",
  malformed: "MALFORMED",
  // Only hosts answer with these two.
  not_sent: "OTHER",
  target_down: "OTHER",
  other: "OTHER",
};

/** Creates the server of one target; its owner chooses the port. */
export function createStatementServer(
  group: StatementGroup,
  id: TargetId,
): Server {
  return createServer(
    { noDelay: true },
    (socket) => serveConnection(socket, { group, id }),
  );
}

function serveConnection(
  socket: Socket,
  { group, id }: { readonly group: StatementGroup; readonly id: TargetId },
): void {
  const reader = createLineReader();
  let link: TargetLink | undefined;
  socket.setEncoding("latin1");
  socket.on("error", () => socket.destroy());
  socket.on("close", () => link?.close());
  socket.on("data", (chunk: string) => {
    reader.push(chunk);
    for (let line; (line = reader.tryNext()) !== undefined;) {
      if (link) {
        void answerQuery(socket, { link, line });
      } else {
        link = open(line);
      }
    }
  });

  function open(line: string): TargetLink | undefined {
    const start = tryDecodeText(line) ?? "";
    const [word, service, workspace = "", expected = id] = splitFields(
      start,
      4,
    );
    const { record } = group.targets.find((t) => t.record.id === id)!;
    const opened = word === "START" && service === record.service &&
        expected === id
      ? group.connect(id, workspace)
      : undefined;
    if (opened?.isOk()) {
      socket.write(encodeReady("idle", undefined));
      return opened.value;
    }
    const code = opened?.isErr() && opened.error.code !== "unreachable"
      ? opened.error.code
      : "wrong_target";
    socket.end(`ERR ${WIRE_CODES[code]} ${id}\r\n`);
    return undefined;
  }
}

async function answerQuery(
  socket: Socket,
  { link, line }: { readonly link: TargetLink; readonly line: string },
): Promise<void> {
  const [, id = "", text = ""] = splitFields(line, 3);
  const command = tryDecodeCommand(asId<ReqId>(id), text);
  const reply: TargetReply = command
    ? await link.send(command)
    : { kind: "lost", detail: `not a command: ${text.slice(0, 40)}` };
  if (reply.kind === "lost") {
    socket.destroy();
  } else if (!socket.destroyed) {
    socket.write(encodeReply(reply), "latin1");
  }
}

function encodeReply(reply: Exclude<TargetReply, { kind: "lost" }>): string {
  const ready = encodeReady(reply.state, reply.position);
  switch (reply.kind) {
    case "done":
      return reply.rows.map((row) => `ROW ${row}\r\n`).join("") +
        `DONE ${reply.signature}\r\n${ready}`;
    case "error":
      return `ERR ${WIRE_CODES[reply.code]} ${reply.detail}\r\n${ready}`;
    default:
      return assertNever(reply);
  }
}

function tryDecodeCommand(id: ReqId, line: string): TargetCommand | undefined {
  const [first, positionText = "", rest = ""] = splitFields(line, 3);
  const position: Position | undefined = first === "AFTER"
    ? tryDecodePosition(positionText)
    : undefined;
  const text = position ? rest : line;
  const after = position ? { after: position } : {};
  const [word, args = ""] = splitFields(text, 2);
  switch (word) {
    case "RESET":
      return { kind: "reset" };
    case "STATUS":
      return { kind: "status" };
    case "PAUSE":
      return { kind: "pause", term: Number(args) };
    case "RESUME":
      return { kind: "resume" };
    case "STEPDOWN":
      return { kind: "step_down", term: Number(args) };
    default:
      break;
  }
  const statement = tryDecodeStatement(text);
  switch (statement?.kind) {
    case "begin":
      return { ...statement, ...after };
    case "run":
      return { kind: "run", id, text: statement.text, ...after };
    case "execute":
      return { ...statement, id, ...after };
    case "commit":
      return { ...statement, id };
    case "rollback":
    case "set":
    case "prepare":
      return statement;
    case "deallocate":
    case undefined:
      return undefined;
    default:
      return assertNever(statement);
  }
}
