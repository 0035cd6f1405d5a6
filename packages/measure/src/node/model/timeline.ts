/** Virtual time: events run in order of their time, and of their making. */

export interface Timeline {
  now: () => number
  /** Runs `action` after `milliseconds`. */
  after: (milliseconds: number, action: () => void) => void
  every: (milliseconds: number, action: () => void) => void
  runUntil: (time: number) => void
}

interface Planned {
  time: number
  order: number
  action: () => void
}

function isBefore (left: Planned, right: Planned): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}

export function createTimeline (): Timeline {
  const heap: Planned[] = []
  let now = 0
  let order = 0

  function push (planned: Planned): void {
    let index = heap.push(planned) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index], heap[parent])) return
      [heap[index], heap[parent]] = [heap[parent], heap[index]]
      index = parent
    }
  }

  function pop (): Planned {
    const first = heap[0]
    const last = heap.pop() as Planned
    if (heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const right = left + 1
      let least = index
      if (left < heap.length && isBefore(heap[left], heap[least])) least = left
      if (right < heap.length && isBefore(heap[right], heap[least])) least = right
      if (least === index) return first
      ;[heap[index], heap[least]] = [heap[least], heap[index]]
      index = least
    }
  }

  function after (milliseconds: number, action: () => void): void {
    order += 1
    push({ time: now + Math.max(0, milliseconds), order, action })
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
