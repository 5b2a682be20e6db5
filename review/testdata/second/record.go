package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case. Each line begins with the milliseconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
	dead  bool
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begin: time.Now()}, nil
}

// line writes a line that happened now.
func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

// lineAt writes a line that happened at a time.
func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	_, _ = fmt.Fprintf(r.out, "%9.1f ", r.ms(at))
	_, _ = fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// ms returns a time as milliseconds since the start of the case.
func (r *record) ms(at time.Time) float64 { return float64(at.Sub(r.begin).Microseconds()) / 1000 }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	_ = r.out.Flush()
	_ = r.file.Close()
}
