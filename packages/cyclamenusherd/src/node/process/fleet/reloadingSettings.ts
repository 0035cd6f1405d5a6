/** Settings that may change while the process runs, with a signal or without one. */

/** Age after which the settings are read again when they are asked for, in milliseconds. */
const RELOAD_INTERVAL_MILLISECONDS = 1_000

/**
 * Gives the newest settings that could be read. A file that can't be read just
 * now, as one that is being written, leaves the settings as they were.
 */
export function createReloadingSettings<Settings> (read: () => Settings, now: () => number = () => performance.now()): () => Settings {
  let settings = read()
  let readAt = now()
  process.on('SIGHUP', () => { readAt = -Infinity })
  return () => {
    if (now() - readAt < RELOAD_INTERVAL_MILLISECONDS) return settings
    readAt = now()
    try {
      settings = read()
    } catch (error) {
      console.error(JSON.stringify({ level: 'warn', scope: 'process', message: 'The settings could not be read again; the ones before stay.', facts: { reason: (error as Error).message } }))
    }
    return settings
  }
}
