//go:build !race

package testcluster

const raceDetector = false
