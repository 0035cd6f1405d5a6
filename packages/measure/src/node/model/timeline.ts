/**
 * Discrete events in virtual time. They run in order of time; events of the same time
 * run in the order in which they were scheduled.
 */

export interface Timeline {
  /** Current virtual time, in milliseconds. */
  now: () => number
  /** Runs `action` once, after `milliseconds`. */
  after: (milliseconds: number, action: () => void) => void
  /** Runs `action` repeatedly, first after `milliseconds`. */
  every: (milliseconds: number, action: () => void) => void
  /** Runs all events up to `time`, which is the current time afterwards. */
  runUntil: (time: number) => void
}

interface ScheduledEvent {
  time: number
  sequence: number
  action: () => void
}

function isBefore (left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.time < right.time || (left.time === right.time && left.sequence < right.sequence)
}

export function createTimeline (): Timeline {
  const heap: ScheduledEvent[] = []
  let now = 0
  let sequence = 0

  function push (event: ScheduledEvent): void {
    let index = heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index], heap[parent])) return
      [heap[index], heap[parent]] = [heap[parent], heap[index]]
      index = parent
    }
  }

  function pop (): ScheduledEvent {
    const first = heap[0]
    const last = heap.pop() as ScheduledEvent
    if (heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const right = left + 1
      let earliest = index
      if (left < heap.length && isBefore(heap[left], heap[earliest])) earliest = left
      if (right < heap.length && isBefore(heap[right], heap[earliest])) earliest = right
      if (earliest === index) return first
      ;[heap[index], heap[earliest]] = [heap[earliest], heap[index]]
      index = earliest
    }
  }

  function after (milliseconds: number, action: () => void): void {
    sequence += 1
    push({ time: now + Math.max(0, milliseconds), sequence, action })
  }

  return {
    now: () => now,
    after,
    every: (milliseconds, action) => {
      const repeat = (): void => {
        action()
        after(milliseconds, repeat)
      }
      after(milliseconds, repeat)
    },
    runUntil: time => {
      while (heap.length > 0 && heap[0].time <= time) {
        const { time: at, action } = pop()
        now = at
        action()
      }
      now = time
    }
  }
}
