/** The package is a program and exports nothing. */
export {}
