/** A log of one voter: each command is synced to its file before it is applied. */

import { closeSync, existsSync, fsyncSync, mkdirSync, openSync, readFileSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import type { ReplicatedLog, StateMachine } from './replicatedLog.js'

export function createLocalLog<Command, Result> (name: string, dataFolder: string, machine: StateMachine<Command, Result>): ReplicatedLog<Command, Result> {
  mkdirSync(dataFolder, { recursive: true })
  const file = join(dataFolder, 'commands.jsonl')
  let index = 0
  if (existsSync(file)) {
    for (const line of readFileSync(file, 'utf8').split('\n').slice(0, -1)) {
      machine.apply(JSON.parse(line) as Command)
      index += 1
    }
  }
  const descriptor = openSync(file, 'a')
  return {
    propose: async command => {
      writeSync(descriptor, `${JSON.stringify(command)}\n`)
      fsyncSync(descriptor)
      index += 1
      return { kind: 'applied', result: machine.apply(command) }
    },
    confirmCurrent: async () => true,
    status: () => ({ role: 'leader', term: 1, leader: name, commitIndex: index, voters: [name] }),
    close: async () => { closeSync(descriptor) }
  }
}
