/**
 * Returns the value of a key that the object itself has. A name that comes from outside may
 * be one that every object inherits, such as `constructor` or `__proto__`.
 */
export function lookUp<Value> (values: Readonly<Record<string, Value>>, name: string): Value | undefined {
  // eslint-disable-next-line local/no-inherited-keys -- the key is checked here
  return Object.hasOwn(values, name) ? values[name] : undefined
}
