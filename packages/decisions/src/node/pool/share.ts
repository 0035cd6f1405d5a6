/** An instance's share of a limit that applies to all entry instances together. */

/**
 * Number of connections to one server that the instance `self` may open. The total
 * is divided evenly. The remainder goes to the first instances by name, so that the
 * shares add up to the total. A share is at least one: with more instances than
 * connections, the server refuses the excess.
 */
export function computeConnectionShare (total: number, self: string, instances: readonly string[]): number {
  const names = [...new Set([...instances, self])].sort()
  const even = Math.floor(total / names.length)
  const extra = names.indexOf(self) < total % names.length ? 1 : 0
  return Math.max(1, even + extra)
}
