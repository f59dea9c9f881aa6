/** Clients that use hosts in the ways of real ones, until a run is over. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import { nowMs, sleep } from "../../src/core/clock.ts";
import type { BalancedHost, Balancer } from "./balancer.ts";
import { STATEMENT_TIMEOUT_MS } from "./bounds.ts";
import {
  type ClientStatement,
  isSuccess,
  type RouteType,
  type StatementKind,
  tryGetErrorCode,
} from "./history.ts";
import { createLineClient } from "./line_client.ts";
import { LONG_ITEM, ROW_PADDING, SLOW_ITEM } from "./stand_in_platform.ts";

/** Time for READY to arrive after START. */
const START_TIMEOUT_MS = 2_000;
/** Time after which a client gives a statement up. */
const PATIENCE_MS = STATEMENT_TIMEOUT_MS + 1_000;
/** Wait before a client comes back that was not told when. */
const DEFAULT_RETRY_MS = 100;
/** Longest pause between the statements of a transaction. */
const MAX_PAUSE_MS = 1_500;
/** Longest time for which a slow reader does not read. */
const MAX_READ_DELAY_MS = 500;
/** Longest pause between statements of a client that does not hurry. */
const MAX_THINK_MS = 20;
const PIPELINE_LENGTH = 4;
const MAX_SESSION_STATEMENTS = 300;
const MAX_TRANSACTION_STATEMENTS = 5;
const ITEMS = 40;

/** Habit of a client. */
export type Habit =
  | "single"
  | "loyal"
  | "long"
  | "pipelined"
  | "half_closing"
  | "slow_reader"
  | "transactions"
  | "greedy";

/** Database that a client uses. */
export interface ClientRoute {
  readonly database: string;
  readonly service: string;
  readonly type: RouteType;
}

/** What a client needs. */
export interface ClientContext {
  readonly name: string;
  readonly seed: number;
  readonly habit: Habit;
  readonly domain: string;
  readonly workspace: string;
  readonly key: string;
  readonly routes: readonly ClientRoute[];
  readonly balancer: Balancer;
  record(statement: ClientStatement): void;
  isOver(): boolean;
}

interface Request {
  readonly kind: StatementKind;
  readonly text: string;
  /** Text that the target runs, if it is another one. */
  readonly runText?: string;
  /** Operation that the statement is a part of. */
  readonly transaction?: string;
  readonly readDelayMs?: number;
  /** Whether the client ends its sending side after the statement. */
  readonly halfCloses?: boolean;
}

interface ClientSession {
  readonly id: string;
  readonly route: ClientRoute;
  isUsable(): boolean;
  run(request: Request): Promise<ClientStatement>;
  /** Ends the session; a statement without an answer is given up. */
  abandon(): void;
}

/** Runs a client until the run is over. */
export async function runClient(ctx: ClientContext): Promise<void> {
  const generator = mersenne(ctx.seed);
  const draw = (below: number) => uniformInt(generator, 0, below - 1);
  let statementCount = 0;
  let sessionCount = 0;
  let loyalTo: BalancedHost | undefined;

  const createId = () => `${ctx.name}-${statementCount++}`;
  const pickItem = () => `${draw(20) === 0 ? SLOW_ITEM : "i"}${draw(ITEMS)}`;

  async function tryOpen(): Promise<ClientSession | undefined> {
    // A loyal client keeps to a host as long as it accepts connections.
    const target = loyalTo ?? ctx.balancer.pick(ctx.domain, draw);
    loyalTo = ctx.habit === "loyal" ? target : undefined;
    const route = ctx.routes[draw(ctx.routes.length)]!;
    const client = createLineClient(target.clientPort, {
      key: ctx.key,
      allowHalfOpen: ctx.habit === "half_closing",
    });
    const timer = setTimeout(() => client.socket.destroy(), START_TIMEOUT_MS);
    const answer = await client.start(route.database);
    clearTimeout(timer);
    if (!answer.isComplete || !answer.lines[0]!.startsWith("READY")) {
      client.socket.destroy();
      if (answer.lines.length === 0) {
        loyalTo = undefined;
      }
      await sleep(getRetryMs(answer.lines));
      return undefined;
    }
    return createSession({
      ctx,
      client,
      target,
      route,
      id: `${ctx.name}.${sessionCount++}`,
      createId,
    });
  }

  async function runSingle(session: ClientSession): Promise<void> {
    const request: Request = draw(3) === 0
      ? { kind: "write", text: `WRITE ${pickItem()} ${createId()}` }
      : { kind: "read", text: `READ ${pickItem()}` };
    const entry = await session.run(request);
    if (!isSuccess(entry)) {
      await sleep(getRetryMs(entry.lines));
    }
  }

  /** Runs statement after statement, with variables and prepared ones. */
  async function runLong(session: ClientSession): Promise<void> {
    const shape = `q${draw(5)}`;
    await session.run({ kind: "set", text: `SET zone z${draw(5)}` });
    await session.run({ kind: "prepare", text: `PREPARE p READ ${shape}` });
    for (
      let i = 0;
      i < MAX_SESSION_STATEMENTS && session.isUsable() && !ctx.isOver();
      i++
    ) {
      const item = pickItem();
      if (draw(4) === 0) {
        await session.run({
          kind: "read",
          text: `EXEC p ${item}`,
          runText: `${shape} ${item}`,
        });
      } else if (draw(50) === 0) {
        await session.run({ kind: "set", text: `SET zone z${draw(5)}` });
      } else {
        await runSingle(session);
      }
      await sleep(draw(2) * draw(MAX_THINK_MS));
    }
  }

  async function runPipelined(session: ClientSession): Promise<void> {
    for (let i = 0; i < 20 && session.isUsable() && !ctx.isOver(); i++) {
      await Promise.all(
        Array.from({ length: PIPELINE_LENGTH }, () => runSingle(session)),
      );
    }
  }

  async function runSlowReader(session: ClientSession): Promise<void> {
    for (let i = 0; i < 5 && session.isUsable() && !ctx.isOver(); i++) {
      const readDelayMs = draw(MAX_READ_DELAY_MS);
      await Promise.all(
        Array.from({ length: PIPELINE_LENGTH }, () =>
          session.run({
            kind: "read",
            text: `READ ${LONG_ITEM}${draw(ITEMS)}`,
            readDelayMs,
          })),
      );
    }
  }

  async function runTransaction(session: ClientSession): Promise<void> {
    const transaction = createId();
    const run = (request: Request) => session.run({ ...request, transaction });
    const begin = await run({ kind: "begin", text: "BEGIN" });
    if (!isSuccess(begin)) {
      session.abandon();
      await sleep(getRetryMs(begin.lines));
      return;
    }
    for (let i = 1 + draw(MAX_TRANSACTION_STATEMENTS); i > 0; i--) {
      await sleep(draw(2) * draw(MAX_PAUSE_MS));
      const entry = await run(
        draw(2) === 0
          ? { kind: "write", text: `WRITE ${pickItem()} ${createId()}` }
          : { kind: "read", text: `READ ${pickItem()}` },
      );
      if (!isSuccess(entry)) {
        // A failed transaction is over for the client.
        session.abandon();
        await sleep(getRetryMs(entry.lines));
        return;
      }
    }
    const end = draw(10);
    if (end === 0) {
      session.abandon();
    } else if (end < 3) {
      await run({ kind: "rollback", text: "ROLLBACK" });
    } else {
      await run({ kind: "commit", text: "COMMIT" });
    }
  }

  async function useSession(session: ClientSession): Promise<void> {
    switch (ctx.habit) {
      case "single":
      case "loyal":
      case "greedy":
        return await runSingle(session);
      case "long":
        return await runLong(session);
      case "pipelined":
        return await runPipelined(session);
      case "half_closing":
        return void await session.run({
          kind: "read",
          text: `READ ${pickItem()}`,
          halfCloses: true,
        });
      case "slow_reader":
        return await runSlowReader(session);
      case "transactions":
        for (let i = 0; i < 5 && session.isUsable() && !ctx.isOver(); i++) {
          await runTransaction(session);
        }
    }
  }

  while (!ctx.isOver()) {
    const session = await tryOpen();
    if (session) {
      await useSession(session);
      session.abandon();
      await sleep(draw(2) * draw(MAX_THINK_MS));
    }
  }
}

/** Returns how long an answer asks its client to wait. */
function getRetryMs(lines: readonly string[]): number {
  const match = /retry after (\d+) ms/.exec(lines.join("\n"));
  return match ? Number(match[1]) : DEFAULT_RETRY_MS;
}

function createSession(options: {
  readonly ctx: ClientContext;
  readonly client: ReturnType<typeof createLineClient>;
  readonly target: BalancedHost;
  readonly route: ClientRoute;
  readonly id: string;
  createId(): string;
}): ClientSession {
  const { ctx, client, target, route, id: session } = options;
  const { socket } = client;
  let variables: Readonly<Record<string, string>> = {};
  let isAbandoned = false;
  let hasEnded = false;
  void client.ended.then(() => hasEnded = true);

  function abandon(): void {
    isAbandoned ||= !hasEnded;
    socket.destroy();
  }

  return {
    id: session,
    route,
    isUsable: () => !hasEnded && !isAbandoned,
    abandon,
    async run(request) {
      const { kind, text, runText = text, transaction } = request;
      const id = options.createId();
      const variablesBefore = variables;
      const isSent = !hasEnded;
      const sentAt = nowMs();
      const answered = client.query(id, text);
      if (request.halfCloses) {
        socket.end();
      }
      if (request.readDelayMs !== undefined) {
        socket.pause();
        setTimeout(() => socket.resume(), request.readDelayMs);
      }
      const timer = setTimeout(abandon, PATIENCE_MS);
      const { lines, isComplete } = await answered;
      clearTimeout(timer);
      const entry: ClientStatement = {
        id,
        operation: transaction ?? id,
        session,
        host: target.host,
        workspace: ctx.workspace,
        service: route.service,
        route: route.type,
        kind,
        text: runText,
        isInTransaction: transaction !== undefined,
        variables: variablesBefore,
        sentAt,
        endedAt: nowMs(),
        lines: lines.map((line) => shorten(line, runText)),
        isComplete,
        isAbandoned: isAbandoned && !isComplete,
        readsSlowly: request.readDelayMs !== undefined,
      };
      if (isSent) {
        ctx.record(entry);
      }
      if (kind === "set" && isSuccess(entry)) {
        const [, name, value] = text.split(" ");
        variables = { ...variables, [name!]: value! };
      }
      if (
        !isComplete || (kind === "set" || kind === "prepare") &&
          tryGetErrorCode(entry) !== undefined
      ) {
        abandon();
      }
      return entry;
    },
  };
}

/** Removes the padding of a long row that arrived as its target sent it. */
function shorten(line: string, text: string): string {
  const row = `ROW row of ${text}`;
  return line === row + ROW_PADDING ? row : line;
}
