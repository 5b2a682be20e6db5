package recordlog

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Errors of locking and writing a record file. The packages that write record files return ErrWriteFailed for every
// write after one that left the file in an unknown state.
var (
	ErrInUse       = errors.New("in use by another process")
	ErrWriteFailed = errors.New("an earlier write failed partway: restart the process to continue")
)

// File is a file that records are appended to. *os.File implements it.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Lock takes an exclusive lock on the file at path, which it creates if necessary, and holds the lock until the returned
// file is closed. The error is ErrInUse if the lock cannot be taken, or the error of opening the file.
func Lock(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrInUse
	}
	return lock, nil
}

// SyncDir syncs a directory, so that the names of files created or replaced in it are durable.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
