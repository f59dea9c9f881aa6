/** Ordinary sessions beside the trouble of a case. */

import { performance } from "node:perf_hooks";
import { createClient, getCode, NotRunError, sleep } from "./hosts.mjs";

const SESSIONS_PER_HOST = 4;
const PAUSE_MS = 40;

/** Keeps reading through some sessions of each host until it is stopped. */
export function startLookups(fleet, record) {
  const counts = { answered: 0, cut: 0 };
  let isOver = false;

  /** Sends lookups, and connects again when the session has ended. */
  async function runSession(host, number) {
    for (let count = 0; !isOver;) {
      const client = createClient(host.ports.clients);
      if (getCode(await client.start("lookup", "k1"))) {
        client.close();
        await sleep(100);
        continue;
      }
      while (!isOver && !client.isEnded) {
        const id = `s-${host.name}-${number}-${count++}`;
        const sentAt = performance.now();
        const code = getCode(await client.query(id, `READ i${number}`));
        if (code === "CUT") {
          counts.cut++;
          const ms = Math.round(performance.now() - sentAt);
          record(`${id} of another session: no answer, cut after ${ms} ms`);
        } else {
          counts.answered++;
        }
        await sleep(PAUSE_MS);
      }
      client.close();
    }
  }

  const sessions = fleet.hosts.flatMap((host) =>
    Array.from(
      { length: SESSIONS_PER_HOST },
      (_, number) => runSession(host, number),
    )
  );
  return {
    async stop() {
      isOver = true;
      await Promise.all(sessions);
      record(
        `other sessions: ${counts.answered} answered, ${counts.cut} cut`,
      );
    },
  };
}

/**
 * Whether the day counts 0: on two machines at least, processes have ended by
 * themselves three times.
 */
export function isFault(fleet, record) {
  if (fleet.hasLostPort()) {
    throw new NotRunError("a host's port was taken");
  }
  const ends = fleet.hosts.map(({ ownEnds }) => ownEnds.length);
  record(`own ends by host: ${ends.join(" ")}`);
  return ends.filter((count) => count >= 3).length >= 2;
}
