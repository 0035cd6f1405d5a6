/**
 * A group in virtual time: servers with logs, a provider that promotes late and whose
 * answers get lost, a directory that hears of servers late, and leaders of control that
 * change. Counts the acknowledged commits that a promoted server lacks, and those that a
 * server made after another one had begun to lead.
 */

import { createRandom } from '../../model/world.js'
import { describeRun } from '../commitCopies.js'
import { deregisterServer, listGroupServers, mergeServer, recordAnnouncement } from '../directory.js'
import { createGroupControl, getPrimaryAssignment, stepGroupControl } from '../groupControl.js'
import { findVerifiedTerm } from '../orderedPromotions.js'
import { INITIAL_FLEET_STATE, applyFleetCommand, decodeFleetState, encodeFleetState } from '../state.js'
import type { ServerRun } from '../commitCopies.js'
import type { KnownServer } from '../directory.js'
import type { GroupControlState, GroupEffect, GroupEvent, ServerStatus } from '../groupTypes.js'
import type { FleetCommand, FleetOutcome } from '../state.js'

const TICK_MILLISECONDS = 25
const CHECK_IN_MILLISECONDS = 400
const FAULTS_UNTIL_MILLISECONDS = 20_000
const END_MILLISECONDS = 40_000
/** Longest time without a leader and with leases of the earlier one, in milliseconds. */
const ELECTION_MILLISECONDS = 1_500

interface Commit {
  term: number
  position: number
}

interface ModelServer {
  member: string
  host: string
  bornAt: number
  role: 'primary' | 'replica'
  term: number
  log: Commit[]
  up: boolean
  leaving: boolean
  ended: boolean
  receives: boolean
  announces: boolean
  /** Until when the servers do not reach each other's primary, so that a former one does not step down by itself. */
  cutUntil: number
  /** Until when control and the entry instances get no answer. */
  silentUntil: number
  refusesUntil: number
  sequence: number
}

export interface GroupModelResult {
  acknowledged: number
  promotions: number
  /** Acknowledged commits that a server lacked when it was promoted. */
  lost: string[]
  /** Acknowledged commits of a server after another one had begun to lead. */
  outdated: string[]
  /** Whether the group serves once all faults are over. */
  serves: boolean
}

export interface GroupModelOptions {
  seed: number
  /** Without, commits may be lost, and each is acknowledged at once. @default true */
  isSynchronous?: boolean
  /** Whether each log outlives its server's process and control hears of each server; otherwise a copy may never be found again. */
  logsSurvive: boolean
}

/** `note` receives a line for each event, to trace a seed. */
export function runGroup ({ seed, isSynchronous = true, logsSurvive }: GroupModelOptions, note: (line: string) => void = () => {}): GroupModelResult {
  const random = createRandom(seed)
  const between = (least: number, most: number): number => least + Math.floor(random() * (most - least + 1))
  const pick = <Item>(items: readonly Item[]): Item | undefined => items[between(0, items.length - 1)]
  const result: GroupModelResult = { acknowledged: 0, promotions: 0, lost: [], outdated: [], serves: false }
  let now = 0
  let work: Array<{ at: number, run: () => void }> = []
  let fleet = INITIAL_FLEET_STATE
  let declared = isSynchronous ? 1 : 0
  let names = 0
  const acknowledged: Commit[] = []
  const servers: ModelServer[] = []
  /** The server that was promoted last. */
  let leading: ModelServer
  /** Until when the provider's answers get lost. */
  let answersLostUntil = -Infinity

  const later = (milliseconds: number, run: () => void): void => { work.push({ at: now + milliseconds, run }) }
  const endOf = ({ log, term, role }: ModelServer): Commit => log.at(-1) ?? { term: role === 'primary' ? term : 0, position: 0 }
  const holds = ({ log }: ModelServer, { term, position }: Commit): boolean => log.some(entry => entry.term === term && entry.position === position)
  const findPrimary = (): ModelServer | undefined => servers.filter(({ up, role }) => up && role === 'primary').sort((left, right) => right.term - left.term)[0]

  const describeServer = (server: ModelServer): string => `${server.member}@${server.bornAt} ${server.up ? server.role : 'down'} ${endOf(server).term}.${endOf(server).position}${server.leaving ? ' leaving' : ''}${server.receives ? '' : ' deaf'}${server.announces ? '' : ' mute'}`

  function addServer (host: string, log: Commit[], term = 1): ModelServer {
    names += 1
    const server: ModelServer = { member: `s${names}`, host, bornAt: 1_000 + now, role: 'replica', term, log, up: true, leaving: false, ended: false, receives: true, announces: true, cutUntil: -Infinity, silentUntil: -Infinity, refusesUntil: -Infinity, sequence: 0 }
    servers.push(server)
    return server
  }

  /** Gives a replica what its primary holds, without gaps; what it holds beyond that is rolled back. */
  function deliver (replica: ModelServer, primary: ModelServer): void {
    if (!replica.up || !primary.up || !replica.receives || Math.max(replica.cutUntil, primary.cutUntil) > now || replica.role !== 'replica' || replica === primary || replica.term > primary.term) return
    Object.assign(replica, { log: [...primary.log], term: primary.term })
  }

  function apply (command: FleetCommand): FleetOutcome {
    const next = applyFleetCommand(fleet, JSON.parse(JSON.stringify(command)) as FleetCommand)
    fleet = decodeFleetState(encodeFleetState(next.state))
    return next.outcome
  }

  let directory = new Map<string, KnownServer>()
  let control: GroupControlState = createGroupControl('g', undefined, 0)
  let leaderSince = 0
  let leads = true
  let publishedAt = 0

  function announce (server: ModelServer): void {
    if (!server.up || !server.announces || !leads) return
    server.sequence += 1
    const { member, host, bornAt, leaving, role, sequence } = server
    recordAnnouncement(directory, { member, group: 'g', host, port: 1, failureDomain: 'a', slots: 3, leaving, role, bornAt, sequence })
  }

  function askStatus (member: string, before: (server: ModelServer) => void = () => {}): void {
    const at = leaderSince
    const askedAt = now
    later(between(2, 20), () => {
      const server = servers.find(candidate => candidate.member === member && candidate.up)
      if (server === undefined || server.silentUntil > now || at !== leaderSince) return
      before(server)
      const status: ServerStatus = { role: server.role, term: server.term, received: endOf(server) }
      later(between(2, 20), () => { if (at === leaderSince && leads) step({ kind: 'status', member, status, askedAt }) })
    })
  }

  function lead (server: ModelServer): void {
    const term = Math.max(...servers.map(other => other.term)) + 1
    result.promotions += 1
    if (isSynchronous) for (const commit of acknowledged) if (!holds(server, commit)) result.lost.push(`${commit.term}.${commit.position} at ${server.member}, ${now} ms`)
    Object.assign(server, { role: 'primary', term })
    leading = server
    for (const other of servers) if (other !== server && other.role === 'replica') Object.assign(other, { log: other.log.filter(entry => holds(server, entry)) })
    announce(server)
  }

  const HANDLERS: { [Kind in GroupEffect['kind']]: (effect: Extract<GroupEffect, { kind: Kind }>) => void } = {
    publish: () => { publishedAt = now },
    'ask status': ({ member }) => { askStatus(member) },
    'step down': ({ member, term }) => {
      askStatus(member, server => {
        if (server.role === 'primary' && server.term < term) server.role = 'replica'
      })
    },
    'record copies': ({ copies }) => {
      const at = leaderSince
      later(between(2, 30), () => { if (at === leaderSince && leads) apply({ kind: 'remember', servers: [], entries: 1, copies }) })
    },
    designate: ({ member, after, leadsFrom }) => {
      const at = leaderSince
      later(between(2, 30), () => {
        if (at !== leaderSince || !leads) return
        const outcome = apply({ kind: 'designate', group: 'g', member, after, leadsFrom })
        if ('designation' in outcome) step({ kind: 'designated', designation: outcome.designation, accepted: outcome.kind === 'designated' })
      })
    },
    promote: ({ member }) => {
      const server = servers.find(candidate => candidate.member === member && candidate.up)
      const at = leaderSince
      const accepted = server !== undefined && server.refusesUntil < now
      const isLost = answersLostUntil > now
      const isExecuted = accepted && !(isLost && random() < 0.3)
      if (isExecuted) later(between(200, 900), () => { if (server.up && server !== leading) lead(server) })
      const outcome = isLost ? 'unknown' : accepted ? 'done' : 'refused'
      later(isLost ? between(500, 1_000) : between(2, 20), () => { if (at === leaderSince && leads) step({ kind: 'promoted', member, outcome }) })
    }
  }

  function step (event: GroupEvent): void {
    const designated = servers.find(({ member }) => member === control.designation?.member)
    const copies = fleet.copies.get('g')
    const listRuns = (matches: (known: KnownServer, run: ServerRun) => boolean): Set<string> => new Set([...copies?.servers ?? [], ...copies?.primary === undefined ? [] : [copies.primary]].filter(run => {
      const known = directory.get(run.member)
      return known !== undefined && matches(known, run)
    }).map(describeRun))
    const next = stepGroupControl(control, event, {
      now,
      servers: listGroupServers(directory, 'g'),
      verdict: designated?.up === true && designated.silentUntil <= now ? 'reachable' : 'failed',
      assignmentConfirmed: now - publishedAt > 50,
      busy: false,
      earlierLeasesExpireAt: leaderSince + ELECTION_MILLISECONDS,
      synchronousReplicas: declared,
      copies,
      endedRuns: listRuns((known, { bornAt }) => known.bornAt > bornAt || known.gone),
      leavingRuns: listRuns((known, { bornAt }) => known.leaving && known.bornAt >= bornAt),
      announcedBy: leaderSince + 3 * CHECK_IN_MILLISECONDS,
      drainMilliseconds: 3_000
    })
    if (next.state.phase !== control.phase) note(`${now} ${control.phase} -> ${next.state.phase}, target ${next.state.target ?? '-'}, designated ${next.state.designation?.member ?? '-'}; copies ${copies?.synchronousReplicas ?? 0} ${copies?.servers.map(describeRun).join(', ') ?? ''} inherited ${JSON.stringify(copies?.inherited)}; ${servers.map(describeServer).join(' | ')}`)
    control = next.state
    for (const effect of next.effects) (HANDLERS[effect.kind] as (effect: GroupEffect) => void)(effect)
  }

  /** One commit, by an entry instance that uses the primary while it is open. */
  function commit (): void {
    const { member, use } = getPrimaryAssignment(control)
    const primary = servers.find(server => server.member === member && server.up && server.role === 'primary')
    if (primary === undefined || primary.silentUntil > now || use !== 'open') return
    const entry = { term: primary.term, position: endOf(primary).position + 1 }
    const required = declared
    const isOutdated = primary !== leading
    primary.log.push(entry)
    for (const replica of servers) if (replica !== primary) later(between(1, 30), () => { deliver(replica, primary) })
    const acknowledge = (): void => {
      acknowledged.push(entry)
      if (isOutdated) result.outdated.push(`${entry.term}.${entry.position} at ${member}, ${now} ms`)
    }
    const confirm = (): void => {
      const isUsable = leads && getPrimaryAssignment(control).member === member && getPrimaryAssignment(control).use !== 'closed'
      if (!primary.up || !isUsable || (isSynchronous && required === 0)) return
      if (servers.filter(server => server !== primary && server.up && holds(server, entry)).length >= required) acknowledge()
      else later(10, confirm)
    }
    later(5, confirm)
  }

  function restart (server: ModelServer): void {
    if (server.up || server.ended) return
    Object.assign(server, { up: true, bornAt: 1_000 + now, sequence: 0, receives: true, role: server === leading ? 'primary' : 'replica' })
    announce(server)
  }

  /** A server that left ends, and a new one starts at its address with its log, or elsewhere with none. */
  function end (server: ModelServer): void {
    if (!server.up) return later(100, () => { end(server) })
    if (server.announces && leads) deregisterServer(directory, server.member, server.bornAt)
    Object.assign(server, { up: false, ended: true })
    const inherits = logsSurvive || random() < 0.7
    later(between(50, 1_000), () => { announce(inherits ? addServer(server.host, [...server.log], server.term) : addServer(`10.0.0.${names + 1}`, [])) })
  }

  function crash (server: ModelServer, milliseconds: number): void {
    if (!server.up) return
    server.up = false
    later(milliseconds, () => { restart(server) })
  }

  function leave (server: ModelServer): void {
    if (!server.up || server.leaving) return
    server.leaving = true
    announce(server)
    later(between(2_000, 4_000), () => { end(server) })
  }

  /** Another control instance is elected after some time. */
  function changeLeader (milliseconds: number): void {
    leads = false
    later(milliseconds, () => {
      leads = true
      leaderSince = now
      publishedAt = now
      directory = new Map()
      for (const server of fleet.servers.values()) mergeServer(directory, server)
      control = createGroupControl('g', fleet.designations.get('g'), now)
    })
  }

  const DISTURBANCES: Array<(target: ModelServer) => void> = [
    leave,
    target => { crash(target, between(300, 6_000)) },
    target => { target.silentUntil = now + between(300, 6_000) },
    () => { changeLeader(between(100, 1_000)) },
    () => { answersLostUntil = now + between(500, 3_000) },
    target => { target.refusesUntil = now + 1_000 }
  ]

  /** The primary fails for a moment or is out of reach, and its successor is disturbed while it is promoted. */
  function failWithSuccessor (): void {
    const primary = findPrimary()
    if (primary === undefined) return
    for (const server of servers) server.cutUntil = now + between(500, 6_000)
    if (random() < 0.5) crash(primary, between(200, 1_500))
    else primary.silentUntil = now + between(200, 2_000)
    for (let count = between(1, 3); count > 0; count -= 1) {
      later(between(20, 1_500), () => {
        const target = servers.find(({ member }) => member === control.designation?.member)
        if (target !== undefined) DISTURBANCES[between(0, DISTURBANCES.length - 1)](target)
      })
    }
  }

  const FAULTS: Array<() => void> = [
    () => {
      const server = pick(servers.filter(({ up }) => up))
      if (server === undefined) return
      server.up = false
      later(between(300, 5_000), () => {
        // A replica may come back without its log; it receives it from the primary again.
        if (!logsSurvive && server.role === 'replica' && random() < 0.2) server.log = []
        restart(server)
      })
    },
    () => {
      const primary = findPrimary()
      if (primary !== undefined) crash(primary, between(1_000, 8_000))
    },
    () => {
      const server = pick(servers.filter(({ up, leaving }) => up && !leaving))
      if (server !== undefined) leave(server)
    },
    () => {
      const server = pick(servers)
      if (server === undefined) return
      server.receives = false
      later(between(500, 4_000), () => { server.receives = true })
    },
    () => {
      const server = pick(servers)
      if (server === undefined || logsSurvive) return
      server.announces = false
      later(between(1_000, 6_000), () => { server.announces = true })
    },
    () => {
      const server = pick(servers)
      if (server === undefined) return
      server.refusesUntil = now + 1_000
    },
    () => {
      if (!isSynchronous) return
      const previous = declared
      declared = between(0, 2)
      later(between(200, 2_000), () => { declared = Math.max(1, previous) })
    },
    () => { changeLeader(between(100, 1_000)) },
    failWithSuccessor,
    failWithSuccessor,
    failWithSuccessor
  ]

  for (let index = 0; index < 3; index += 1) addServer(`10.0.0.${index + 1}`, [])
  servers[0].role = 'primary'
  leading = servers[0]
  for (const server of servers) announce(server)
  let faultAt = 1_000
  for (; now < END_MILLISECONDS; now += 5) {
    const due = work.filter(({ at }) => at <= now)
    work = work.filter(({ at }) => at > now)
    for (const { run } of due) run()
    if (leads && now % TICK_MILLISECONDS === 0) step({ kind: 'tick' })
    if (now % 20 === 0) commit()
    if (now % CHECK_IN_MILLISECONDS === 0) for (const server of servers) announce(server)
    const verified = findVerifiedTerm(control, now)
    if (now % 1_000 === 0 && leads) apply({ kind: 'remember', servers: [...directory.values()], entries: 1 })
    if (now % 200 === 0 && leads && verified !== undefined) apply({ kind: 'remember', servers: [], entries: 1, verified: [verified] })
    const primary = findPrimary()
    if (now % 50 === 0 && primary !== undefined) {
      for (const server of servers) {
        // A former primary steps down once it reaches the new one.
        if (server.up && server.role === 'primary' && server.term < primary.term && Math.max(server.cutUntil, primary.cutUntil) <= now && now % 1_000 === 0) server.role = 'replica'
        deliver(server, primary)
      }
    }
    if (now >= faultAt && now < FAULTS_UNTIL_MILLISECONDS) {
      faultAt = now + between(100, 2_500)
      const index = between(0, FAULTS.length - 1)
      FAULTS[index]()
      note(`${now} fault ${index}, declared ${declared}: ${servers.map(describeServer).join(' | ')}`)
    }
    if (now === FAULTS_UNTIL_MILLISECONDS) {
      answersLostUntil = -Infinity
      for (const server of servers) {
        server.cutUntil = -Infinity
        server.silentUntil = -Infinity
        server.receives = true
        server.announces = true
        restart(server)
      }
    }
  }
  result.acknowledged = acknowledged.length
  result.serves = getPrimaryAssignment(control).use === 'open'
  return result
}
