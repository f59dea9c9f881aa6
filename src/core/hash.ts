/** Rendezvous hashing. */

import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Returns a 32-bit hash of a text. */
export function hash32(text: string): number {
  return h32(text);
}

/**
 * Returns the score of a node for a key, from the hashes of both; the node with
 * the highest score is assigned the key. With many nodes and keys, hash each
 * text once and call this function instead of `scoreNode`.
 */
export function scoreHashes(keyHash: number, nodeHash: number): number {
  let mixed = keyHash ^ Math.imul(nodeHash, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Returns the score of a node for a key. */
export function scoreNode(key: string, node: string): number {
  return scoreHashes(hash32(key), hash32(node));
}

/**
 * Orders `nodes` by their score for `key`, best first. Removing a node only
 * reassigns the keys of that node.
 */
export function rankNodes<T extends string>(
  key: string,
  nodes: readonly T[],
): T[] {
  const keyHash = hash32(key);
  return nodes
    .map((node) => ({ node, score: scoreHashes(keyHash, hash32(node)) }))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .map((entry) => entry.node);
}
