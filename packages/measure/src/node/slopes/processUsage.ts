/** Processor time and memory of a process, read from /proc. */

import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100

export interface ProcessUsage {
  /** Processor time so far, in seconds. */
  processorSeconds: number
  /** Resident memory, in bytes. */
  residentBytes: number
}

export function readUsage (processNumber: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processNumber}/stat`, 'utf8')
  // The command's name may contain spaces; the fields after its closing parenthesis don't.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${processNumber}/status`, 'utf8')
  const resident = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0)
  return { processorSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND, residentBytes: resident * 1024 }
}

/** Measures the share of one core that a process uses over `milliseconds`, and its memory at the end. */
export async function observeUsage (processNumber: number, milliseconds: number): Promise<{ coreShare: number, residentBytes: number }> {
  const before = readUsage(processNumber)
  const startedAt = performance.now()
  await new Promise(resolve => setTimeout(resolve, milliseconds))
  const after = readUsage(processNumber)
  const seconds = (performance.now() - startedAt) / 1000
  return { coreShare: (after.processorSeconds - before.processorSeconds) / seconds, residentBytes: after.residentBytes }
}

/** Fits a straight line to the points by least squares. */
export function fitLine (points: ReadonlyArray<{ x: number, y: number }>): { slope: number, intercept: number } {
  const count = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}
