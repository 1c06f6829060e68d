//go:build race

package main

// underRace says that the processes' memory includes that of the race detector.
const underRace = true
