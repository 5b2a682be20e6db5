//go:build race

package testcluster

const raced = true
