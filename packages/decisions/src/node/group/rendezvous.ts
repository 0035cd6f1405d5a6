/** Assigns work to instances by rendezvous hashing, so that little work moves when an instance is lost. */

import { createHash } from 'node:crypto'

function computeWeight (key: string, node: string): number {
  return createHash('sha256').update(`${key}\0${node}`).digest().readUIntBE(0, 6)
}

function orderByWeight (nodes: readonly string[], weigh: (node: string) => number): string[] {
  return nodes
    .map(node => ({ node, weight: weigh(node) }))
    .sort((left, right) => right.weight - left.weight || (left.node < right.node ? -1 : 1))
    .map(({ node }) => node)
}

/** Orders the nodes by preference for `key`: the first one is responsible for it, the next one if the first is lost. */
export function rankNodes (key: string, nodes: readonly string[]): string[] {
  return orderByWeight(nodes, node => computeWeight(key, node))
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a hash of a text. */
function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** The finalizer of MurmurHash3: each bit of the result depends on every bit of the hash. */
function mixBits (hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * As `rankNodes`, with a hash that is cheap enough to rank all instances for each of
 * many keys, and another order. Not for choices that instances of different builds
 * have to agree on.
 */
export function rankManyNodes (key: string, nodes: readonly string[]): string[] {
  const keyHash = mixBits(hashText(key))
  return orderByWeight(nodes, node => mixBits(keyHash ^ hashText(node)))
}
