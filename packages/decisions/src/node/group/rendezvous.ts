/** Assigns work to instances by rendezvous hashing, so that little work moves when an instance is lost. */

import { createHash } from 'node:crypto'

function computeWeight (key: string, node: string): number {
  return createHash('sha256').update(`${key}\0${node}`).digest().readUIntBE(0, 6)
}

/** Orders the nodes by preference for `key`: the first one is responsible for it, the next one if the first is lost. */
export function rankNodes (key: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({ node, weight: computeWeight(key, node) }))
    .sort((left, right) => right.weight - left.weight || (left.node < right.node ? -1 : 1))
    .map(({ node }) => node)
}
