//go:build race

package daemon

// raceDetector reports whether the race detector is in use. It makes whole daemons run
// about 30 times slower.
const raceDetector = true
