/** The entry instances that hold each group's connections, as the leader has chosen them. */

import { chooseHolders } from '@cyclamenusher/decisions'
import type { NamedInstance } from '@cyclamenusher/decisions'

export interface AvailableHolder extends NamedInstance {
  failureDomain: string
}

export interface GroupHolders {
  /** Chooses the holders of the groups, given the failure domains of each group's servers. Calls `recordChange` for each changed choice, to number the change. */
  plan: (groups: readonly string[], listServerDomains: (group: string) => string[], available: readonly AvailableHolder[], recordChange: () => number) => void
  /** Names of all holders. */
  names: () => ReadonlySet<string>
  /** Holders that were modified after the change; undefined before the first plan. */
  changesSince: (change: number) => Record<string, NamedInstance[]> | undefined
}

export function createGroupHolders (): GroupHolders {
  const chosen = new Map<string, { basis: string, holders: NamedInstance[], change: number }>()
  let planned = false

  return {
    plan: (groups, listServerDomains, available, recordChange) => {
      planned ||= available.length > 0
      const availableKey = available.map(({ name, host, port }) => `${name} ${host}:${port}`).sort().join()
      for (const group of groups) {
        const domains = [...new Set(listServerDomains(group))].sort()
        const existing = chosen.get(group)
        const basis = `${domains.join()} ${availableKey}`
        if (existing?.basis === basis) continue
        const holders = chooseHolders(group, domains, available).map(({ name, host, port, failureDomain }) => ({ name, host, port, failureDomain }))
        const isUnchanged = existing !== undefined && JSON.stringify(existing.holders) === JSON.stringify(holders)
        chosen.set(group, { basis, holders, change: isUnchanged ? existing.change : recordChange() })
      }
      const declared = new Set(groups)
      for (const group of chosen.keys()) if (!declared.has(group)) chosen.delete(group)
    },
    names: () => new Set([...chosen.values()].flatMap(({ holders }) => holders.map(({ name }) => name))),
    changesSince: known => planned ? Object.fromEntries([...chosen].filter(([, { change }]) => change > known).map(([group, { holders }]) => [group, holders])) : undefined
  }
}
