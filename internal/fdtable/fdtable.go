// Package fdtable enlarges the kernel's table of file descriptors before the process has a second thread. It is
// imported for this side effect alone.
//
// In a process with several threads, the kernel waits at each doubling of the table until every processor has passed a
// quiescent state, which takes tens of milliseconds on a busy machine. With one thread, a doubling takes microseconds.
// Without cgo the package does nothing, and the relay grows the table itself.
package fdtable

// TargetSize is the size of the table in descriptors, if the process's limit allows as many. constructor.go has the same
// number.
const TargetSize = 1024
