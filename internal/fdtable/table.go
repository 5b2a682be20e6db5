// Package table makes the kernel's table of descriptors large before the process has a second thread. It is imported for
// that alone. With threads the kernel waits at each doubling until every processor has passed a quiet moment: 25 ms in the
// median on eight busy cores, a third of a second at times, more where hundreds of relays start at once; alone, 6 us.
// Without cgo it does nothing, and the relay grows the table itself.
package fdtable

// TargetSize is how large the table is made, in descriptors, where the process may have as many.
const TargetSize = 1024
