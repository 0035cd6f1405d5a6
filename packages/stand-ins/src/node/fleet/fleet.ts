/** Starts the processes of a small fleet on loopback, and ends exactly those. */

import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath, pathToFileURL } from 'node:url'
import type { ChildProcess } from 'node:child_process'

/** The folder that holds the workspace, whether this runs from a bundle or from source. */
function findWorkspaceFolder (): string {
  let folder = dirname(fileURLToPath(import.meta.url))
  while (!existsSync(join(folder, 'packages/cyclamenusherd/package.json'))) folder = dirname(folder)
  return folder
}

/** The folder that holds the workspace. */
export const WORKSPACE_FOLDER = findWorkspaceFolder()
const PROGRAM_FILES = {
  daemon: join(WORKSPACE_FOLDER, 'packages/cyclamenusherd/dist/main.js'),
  operator: join(WORKSPACE_FOLDER, 'packages/cyclamenusher/dist/main.js'),
  standIns: join(WORKSPACE_FOLDER, 'packages/stand-ins/dist/main.js')
}

export type Program = keyof typeof PROGRAM_FILES

/** Where the module lies that sends a process's connections through links. */
const DIAL_THROUGH_LINKS = join(WORKSPACE_FOLDER, 'packages/stand-ins/dist/link/dialThroughLinks.js')

export interface StartOptions {
  /** Where the process reaches the others through links. @default undefined - directly */
  linkHost?: string
}

/** Programs that run in place of the built ones, as mutated bundles do. */
export type ProgramFiles = Partial<Record<Program, string>>

export interface FleetProcess {
  name: string
  child: ChildProcess
  /** What it has written so far. */
  output: () => string
}

export interface Fleet {
  folder: string
  /** A port that nobody listens on. */
  findFreePort: () => Promise<number>
  write: (file: string, text: string) => string
  start: (name: string, program: Program, parameters: string[], options?: StartOptions) => FleetProcess
  /** Runs a program to its end. */
  run: (program: Program, parameters: string[]) => Promise<{ code: number, output: string }>
  /** Ends one process by signal, and waits until it is gone. */
  stop: (process: FleetProcess, signal: NodeJS.Signals) => Promise<void>
  /** What each running process has written. */
  outputs: () => string[]
  /** Ends every process and removes the folder. */
  close: () => Promise<void>
}

export function digestOf (key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`
}

export function createFleet (programs: ProgramFiles = {}): Fleet {
  const folder = mkdtempSync(join(tmpdir(), 'cyclamenusher-'))
  const processes = new Set<FleetProcess>()
  const ports = new Set<number>()
  let closed = false

  async function probeRandomPort (): Promise<number> {
    // Below the range from which the kernel takes the ports of outgoing connections.
    const port = 12_000 + Math.floor(Math.random() * 20_000)
    return await new Promise<number>(resolve => {
      const server = createServer()
      server.once('error', () => { resolve(0) })
      server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(port) }) })
    })
  }

  async function findFreePort (): Promise<number> {
    for (;;) {
      const port = await probeRandomPort()
      if (port === 0 || ports.has(port)) continue
      ports.add(port)
      return port
    }
  }

  function start (name: string, program: Program, parameters: string[], { linkHost }: StartOptions = {}): FleetProcess {
    const preload = linkHost === undefined ? [] : ['--import', `${pathToFileURL(DIAL_THROUGH_LINKS).href}?host=${linkHost}`]
    if (closed) throw new Error(`${name} is not started: the fleet is closed`)
    const child = spawn(process.execPath, [...preload, programs[program] ?? PROGRAM_FILES[program], ...parameters], { stdio: ['ignore', 'pipe', 'pipe'] })
    let text = ''
    const appendOutput = (chunk: Buffer): void => { text = (text + chunk.toString('utf8')).slice(-200_000) }
    child.stdout?.on('data', appendOutput)
    child.stderr?.on('data', appendOutput)
    const started = { name, child, output: () => text }
    processes.add(started)
    child.once('exit', () => { processes.delete(started) })
    return started
  }

  async function run (program: Program, parameters: string[]): Promise<{ code: number, output: string }> {
    const started = start(program, program, parameters)
    const code = await new Promise<number>(resolve => { started.child.once('close', status => { resolve(status ?? 1) }) })
    return { code, output: started.output() }
  }

  async function stop ({ child }: FleetProcess, signal: NodeJS.Signals): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return
    const exited = new Promise<void>(resolve => { child.once('exit', () => { resolve() }) })
    child.kill(signal)
    await exited
  }

  return {
    folder,
    findFreePort,
    write: (file, text) => {
      const path = join(folder, file)
      mkdirSync(join(path, '..'), { recursive: true })
      writeFileSync(path, text, { mode: 0o600 })
      return path
    },
    start,
    run,
    stop,
    outputs: () => [...processes].map(({ name, output }) => `== ${name}\n${output()}`),
    close: async () => {
      closed = true
      await Promise.all([...processes].map(async started => { await stop(started, 'SIGKILL') }))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
