/** In-memory stand-in for the object API of the platform. */

import { Err, Ok, type Result } from "ts-results-es";
import type { ObjectKey } from "../src/core/ids.ts";
import type { PlatformErr, StoredObject, WatchRes } from "../src/core/types.ts";

/** Object store of the platform, without its network. */
export interface PlatformCore {
  get(key: ObjectKey): StoredObject;
  list(prefix: string): WatchRes;
  put(
    key: ObjectKey,
    value: unknown,
    options: { readonly ifVersion: number },
  ): Result<StoredObject, PlatformErr>;
  /** Removes an object; watches report it with version 0. */
  remove(key: ObjectKey): void;
  /**
   * Returns the objects under `prefix` changed after `revision`;
   * `history_gone` if the store has not reached that revision, or has discarded
   * changes after it.
   */
  changesAfter(
    prefix: string,
    revision: number,
  ): Result<WatchRes, PlatformErr>;
  /** Discards all changes so far; the objects stay. */
  discardHistory(): void;
  /** Number of the store's era; rises with each return to a copy. */
  getEra(): number;
  takeCopy(): PlatformCopy;
  /**
   * Returns to an earlier copy: objects written since are gone, and revisions
   * after the copy are given out again. External objects, those of the operator
   * and the targets, are written again as they were.
   */
  returnTo(
    copy: PlatformCopy,
    options: { isExternal(key: ObjectKey): boolean },
  ): void;
  /** Calls `listener` after each change; returns the unsubscribe function. */
  onChange(listener: () => void): () => void;
}

/** State of the store at one revision. */
export interface PlatformCopy {
  readonly revision: number;
  readonly entries: ReadonlyMap<ObjectKey, Entry>;
}

interface Entry {
  readonly object: StoredObject;
  /** Store revision of the object's last change. */
  readonly revision: number;
}

/** Options of the store. */
export interface PlatformCoreOptions {
  /**
   * Whether an object's version is the revision of its last change, as on the
   * users' platform; otherwise it counts the changes of the object.
   */
  readonly versionsAreRevisions?: boolean;
}

/** Creates an empty store. */
export function createPlatformCore(
  options: PlatformCoreOptions = {},
): PlatformCore {
  const entries = new Map<ObjectKey, Entry>();
  const listeners = new Set<() => void>();
  let revision = 0;
  /** Revision from which on changes can be reported. */
  let historyStart = 0;
  let era = 1;

  function get(key: ObjectKey): StoredObject {
    return entries.get(key)?.object ?? { key, version: 0, value: undefined };
  }

  function listChanged(prefix: string, after: number): StoredObject[] {
    return [...entries.values()]
      .filter((entry) => entry.revision > after)
      .map((entry) => entry.object)
      .filter((object) => object.key.startsWith(prefix));
  }

  function write(key: ObjectKey, value: unknown): StoredObject {
    revision++;
    const version = options.versionsAreRevisions
      ? revision
      : get(key).version + 1;
    const object = { key, version, value };
    entries.set(key, { object, revision });
    return object;
  }

  function remove(key: ObjectKey): void {
    revision++;
    const object = { key, version: 0, value: undefined };
    entries.set(key, { object, revision });
  }

  function notify(): void {
    listeners.forEach((listener) => listener());
  }

  return {
    get,
    list: (prefix) => ({
      revision,
      objects: listChanged(prefix, 0).filter(({ version }) => version > 0),
    }),
    put(key, value, { ifVersion }) {
      const current = get(key);
      if (current.version !== ifVersion) {
        return Err({ kind: "conflict", current });
      }
      const object = write(key, value);
      notify();
      return Ok(object);
    },
    remove(key) {
      remove(key);
      notify();
    },
    changesAfter: (prefix, after) =>
      after > revision || after < historyStart
        ? Err({ kind: "history_gone" })
        : Ok({ revision, objects: listChanged(prefix, after) }),
    discardHistory() {
      historyStart = revision;
    },
    getEra: () => era,
    takeCopy: () => ({ revision, entries: new Map(entries) }),
    returnTo(copy, { isExternal }) {
      const external = [...entries.values()].map(({ object }) => object)
        .filter(({ key }) => isExternal(key));
      entries.clear();
      copy.entries.forEach((entry, key) => entries.set(key, entry));
      revision = copy.revision;
      historyStart = Math.min(historyStart, revision);
      era++;
      for (const { key, version, value } of external) {
        const isPresent = get(key).version !== 0;
        if (version !== 0 && get(key).value !== value) {
          write(key, value);
        } else if (version === 0 && isPresent) {
          remove(key);
        }
      }
      notify();
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
