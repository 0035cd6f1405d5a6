import { appendFileSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { openServerLog } from '../log.js'
import { createBackendServer } from '../server.js'
import type { BackendServer } from '../server.js'

const folder = mkdtempSync(join(tmpdir(), 'cyclamenusher-backend-'))
const servers: BackendServer[] = []
let folderCount = 0

function createFolder (): string {
  folderCount += 1
  return join(folder, String(folderCount))
}

function start (dataFolder: string): BackendServer {
  const server = createBackendServer({ group: 'group', member: 'one', failureDomain: 'domain-a', host: '127.0.0.1', port: 1, connectionLimit: 5, openMilliseconds: 0, lagMilliseconds: 0, dataFolder })
  servers.push(server)
  return server
}

/** Starts a server that is the primary of term 1. */
function startPrimary (dataFolder: string): BackendServer {
  const server = start(dataFolder)
  server.adopt(1)
  server.admit(1, 0, server.incarnation)
  server.promote(1)
  return server
}

test('a server with an empty data folder does not vote and refuses a promotion', () => {
  const server = start(createFolder())
  assert.is(server.adopt(1).granted, true)
  assert.is(server.status().voting, false)
  assert.is(server.promote(1).granted, false)
})

test('a term is granted only once', () => {
  const server = start(createFolder())
  assert.is(server.adopt(2).granted, true)
  assert.is(server.adopt(2).granted, false)
  assert.is(server.adopt(1).granted, false)
})

test('a granted term does not allow a promotion after a restart', () => {
  const data = createFolder()
  const first = startPrimary(data)
  first.adopt(2)
  first.close()
  const restarted = start(data)
  assert.is(restarted.status().voting, true)
  assert.is(restarted.status().adoptedTerm, 2)
  assert.is(restarted.promote(2).granted, false)
})

test('a server that follows another primary of the term refuses a promotion', () => {
  const server = startPrimary(createFolder())
  server.adopt(2)
  server.follow(2, '127.0.0.1', 1)
  assert.is(server.promote(2).granted, false)
})

test('an admission requires the incarnation, the adopted term and the log position', () => {
  const server = start(createFolder())
  server.adopt(3)
  assert.is(server.admit(3, 0, 'another').granted, false)
  assert.is(server.admit(3, 5, server.incarnation).granted, false)
  assert.is(server.admit(2, 0, server.incarnation).granted, false)
  assert.is(server.admit(3, 0, server.incarnation).granted, true)
})

test('a replaced primary commits nothing', () => {
  const server = startPrimary(createFolder())
  assert.equal(server.commit([]), { term: 1, position: 2 })
  server.adopt(2)
  assert.is(server.commit([]), undefined)
})

test('a restart keeps records, term and vote', () => {
  const data = createFolder()
  const server = startPrimary(data)
  server.commit([{ kind: 'put', table: 'visits', id: 'a', value: 'first' }])
  server.close()
  const restarted = start(data)
  const { role, adoptedTerm, logTerm, position, appliedTerm, voting } = restarted.status()
  assert.equal({ role, adoptedTerm, logTerm, position, appliedTerm, voting }, { role: 'replica', adoptedTerm: 1, logTerm: 1, position: 2, appliedTerm: 1, voting: true })
  assert.is(restarted.store.table('visits')?.get('a'), 'first')
})

test('records written after an incomplete one can be read', () => {
  const data = createFolder()
  const log = openServerLog(data)
  log.append({ term: 1, position: 1, operations: [] })
  appendFileSync(join(data, 'records.jsonl'), '{"term":1,"pos')
  const torn = openServerLog(data)
  torn.append({ term: 1, position: 2, operations: [] })
  assert.equal(openServerLog(data).last(), { term: 1, position: 2 })
})

test('a server whose records are lost does not vote', () => {
  const data = createFolder()
  startPrimary(data).close()
  rmSync(join(data, 'records.jsonl'))
  assert.is(openServerLog(data).isVoting(), false)
})

test.after.each(() => { for (const server of servers.splice(0)) server.close() })
test.after(() => { rmSync(folder, { recursive: true, force: true }) })
test.run()
