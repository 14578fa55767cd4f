//go:build race

package daemon

// raceDetector slows whole daemons down some thirty times.
const raceDetector = true
