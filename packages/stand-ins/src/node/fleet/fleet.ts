/** Starts the processes of a small fleet on loopback, and stops only these. */

import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath, pathToFileURL } from 'node:url'
import type { ChildProcess } from 'node:child_process'

/** Finds the root folder of the workspace, from a bundle as well as from source. */
function findWorkspaceFolder (): string {
  let folder = dirname(fileURLToPath(import.meta.url))
  while (!existsSync(join(folder, 'packages/cyclamenusherd/package.json'))) folder = dirname(folder)
  return folder
}

/** Root folder of the workspace. */
export const WORKSPACE_FOLDER = findWorkspaceFolder()
const PROGRAM_FILES = {
  daemon: join(WORKSPACE_FOLDER, 'packages/cyclamenusherd/dist/main.js'),
  operator: join(WORKSPACE_FOLDER, 'packages/cyclamenusher/dist/main.js'),
  standIns: join(WORKSPACE_FOLDER, 'packages/stand-ins/dist/main.js')
}

export type Program = keyof typeof PROGRAM_FILES

const DIAL_THROUGH_LINKS = join(WORKSPACE_FOLDER, 'packages/stand-ins/dist/link/dialThroughLinks.js')

/** Returns the flags of Node.js that redirect a process's connections from hosts to those of links. `module` is the built dialThroughLinks.ts. */
export function buildLinkFlags (linkHosts: Record<string, string>, module = DIAL_THROUGH_LINKS): string[] {
  return ['--import', `${pathToFileURL(module).href}?${new URLSearchParams(linkHosts).toString()}`]
}

export interface StartOptions {
  /** Host of the links through which the process connects to others. @default undefined - it connects directly */
  linkHost?: string
}

/** Files that run in place of the built programs, such as mutated bundles. */
export type ProgramFiles = Partial<Record<Program, string>>

export interface FleetProcess {
  name: string
  child: ChildProcess
  /** Returns the last 200,000 characters of its standard output and error. */
  output: () => string
}

export interface Fleet {
  folder: string
  /** Returns an unused port that it has not returned before. */
  findFreePort: () => Promise<number>
  /** Writes a file in the fleet's folder and returns its path. */
  write: (file: string, text: string) => string
  start: (name: string, program: Program, parameters: string[], options?: StartOptions) => FleetProcess
  /** Runs a program until it exits. */
  run: (program: Program, parameters: string[]) => Promise<{ code: number, output: string }>
  /** Sends a signal to a process and waits until it exits. */
  stop: (process: FleetProcess, signal: NodeJS.Signals) => Promise<void>
  /** Returns the output of each running process, headed by its name. */
  outputs: () => string[]
  /** Kills every process and removes the folder. */
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

  /** Returns a random port, or 0 if that port is in use. */
  async function probeRandomPort (): Promise<number> {
    // Below the range that the kernel uses for ports of outgoing connections.
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
    const preload = linkHost === undefined ? [] : buildLinkFlags({ '127.0.0.1': linkHost, localhost: linkHost })
    if (closed) throw new Error(`cannot start ${name}: the fleet is closed`)
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
