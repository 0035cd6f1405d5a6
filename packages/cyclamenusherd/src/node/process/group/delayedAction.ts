/** An action that runs after a delay, once for all requests made until then. */

export interface DelayedAction {
  /** Runs the action after the delay, unless it is already scheduled. */
  request: () => void
  close: () => void
}

export function createDelayedAction (milliseconds: number, action: () => void): DelayedAction {
  let timer: NodeJS.Timeout | undefined
  return {
    request: () => {
      timer ??= setTimeout(() => {
        timer = undefined
        action()
      }, milliseconds)
    },
    close: () => { clearTimeout(timer) }
  }
}
