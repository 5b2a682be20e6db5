//go:build race

package testcluster

const raceDetector = true
