/** Rendezvous hashing. */

import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Hashes text to 32 bits. */
export function hash32(text: string): number {
  return h32(text);
}

/**
 * Score of a node for a key, given the hashes of both; the node with the
 * highest score stands for the key. Whoever ranks many nodes for many keys
 * hashes each text once.
 */
export function scoreHashes(keyHash: number, nodeHash: number): number {
  let mixed = keyHash ^ Math.imul(nodeHash, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Score of a node for a key. */
export function scoreNode(key: string, node: string): number {
  return scoreHashes(hash32(key), hash32(node));
}

/** Orders `nodes` for `key`; removing a node moves only its own keys. */
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
