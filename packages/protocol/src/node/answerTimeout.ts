/**
 * Timeouts for answers that may be there already.
 *
 * Load pattern: a process that does not run for longer than a timeout, because it is busy
 * or has used up its share of the processor, for instance right after its start. Node.js
 * runs timers before it reads sockets, so it would give up answers that wait in a socket.
 */

/** Longest delay that a timer of Node.js holds, in milliseconds; it fires at once after a longer one. */
export const LONGEST_TIMER_MILLISECONDS = 2 ** 31 - 1

/** Calls `expire` after the time, once what the sockets hold by then has been read. Returns a function that cancels it. */
export function startAnswerTimeout (milliseconds: number, expire: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(expire) }, Math.min(milliseconds, LONGEST_TIMER_MILLISECONDS))
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}
