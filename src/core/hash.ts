/** Rendezvous hashing. */

import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Hashes text to 32 bits. */
export function hash32(text: string): number {
  return h32(text);
}

/** Score of a node for a key; the node with the highest stands for it. */
export function scoreNode(key: string, node: string): number {
  return hash32(`${key}|${node}`);
}

/** Orders `nodes` for `key`; removing a node moves only its own keys. */
export function rankNodes<T extends string>(
  key: string,
  nodes: readonly T[],
): T[] {
  return nodes
    .map((node) => ({ node, score: scoreNode(key, node) }))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .map((entry) => entry.node);
}
