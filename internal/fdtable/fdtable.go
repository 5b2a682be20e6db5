// Package fdtable enlarges the kernel's table of file descriptors of this process while the process has only one
// thread. It is imported for this side effect alone.
//
// In a process with several threads, the kernel waits at each doubling of the table until every processor has passed a
// quiescent state, which takes tens of milliseconds on a busy machine. With one thread, a doubling takes microseconds.
// Without cgo, the package does nothing, and the relay grows the table itself when it already has several threads.
package fdtable

// TargetSize is the size of the table in descriptors, unless the process's limit is lower. constructor.go repeats the
// number, because its C code cannot refer to this constant.
const TargetSize = 1024
