/** Places work on instances by rendezvous hashing, so that few things move when one is lost. */

import { createHash } from 'node:crypto'

function computeWeight (key: string, node: string): number {
  return createHash('sha256').update(`${key}\0${node}`).digest().readUIntBE(0, 6)
}

/** The nodes in the order in which they would take `key`. */
export function rankNodes (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, weight: computeWeight(key, node) }))
    .sort((left, right) => right.weight - left.weight || (left.node < right.node ? -1 : 1))
    .map(({ node }) => node)
}
