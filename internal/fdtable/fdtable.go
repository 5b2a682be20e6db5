// Package fdtable makes the kernel's table of file descriptors large before the process has a second thread. It is imported
// for that alone.
//
// With several threads the kernel waits at each doubling of the table until every processor has passed a quiescent state,
// which takes tens of milliseconds on a busy machine; with one thread it takes microseconds. Without cgo the package does
// nothing, and the relay grows the table itself.
package fdtable

// TargetSize is how large the table is made, in descriptors, where the process may have as many. constructor.go has the same
// number.
const TargetSize = 1024
