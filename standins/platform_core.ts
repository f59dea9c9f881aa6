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
  /** Returns the objects under `prefix` changed after `revision`. */
  changesAfter(prefix: string, revision: number): WatchRes;
  /** Calls `listener` after each change; returns the unsubscribe function. */
  onChange(listener: () => void): () => void;
}

interface Entry {
  readonly object: StoredObject;
  /** Store revision of the object's last change. */
  readonly revision: number;
}

/** Creates an empty store. */
export function createPlatformCore(): PlatformCore {
  const entries = new Map<ObjectKey, Entry>();
  const listeners = new Set<() => void>();
  let revision = 0;

  function get(key: ObjectKey): StoredObject {
    return entries.get(key)?.object ?? { key, version: 0, value: undefined };
  }

  function changesAfter(prefix: string, after: number): WatchRes {
    const objects = [...entries.values()]
      .filter((entry) => entry.revision > after)
      .map((entry) => entry.object)
      .filter((object) => object.key.startsWith(prefix));
    return { revision, objects };
  }

  return {
    get,
    list(prefix) {
      const { objects } = changesAfter(prefix, 0);
      const present = objects.filter(({ version }) => version > 0);
      return { revision, objects: present };
    },
    put(key, value, { ifVersion }) {
      const current = get(key);
      if (current.version !== ifVersion) {
        return Err({ kind: "conflict", current });
      }
      revision++;
      const object = { key, version: ifVersion + 1, value };
      entries.set(key, { object, revision });
      listeners.forEach((listener) => listener());
      return Ok(object);
    },
    remove(key) {
      revision++;
      const object = { key, version: 0, value: undefined };
      entries.set(key, { object, revision });
      listeners.forEach((listener) => listener());
    },
    changesAfter,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
