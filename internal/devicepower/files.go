package devicepower

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

const (
	maxFileBytes  = 4096 // one page, which is the most that the kernel returns for an attribute
	maxDirEntries = 256  // largest number of names that are read from one folder
)

// fileSource reads files below a root folder. Its errors contain the name of the file but not the path of its folder.
type fileSource interface {
	// readLine returns the first line of a file.
	readLine(path string) (string, error)

	// listDir returns the sorted names of the entries of a folder.
	listDir(dir string) ([]string, error)
}

// device is the folder of one device, relative to the root of its fileSource.
type device struct {
	fileSource
	path string
}

// text returns the first line of a file of the device.
func (d device) text(file string) (string, error) { return d.readLine(d.path + "/" + file) }

// number returns the whole number in a file of the device.
func (d device) number(file string) (float64, error) {
	text, err := d.text(file)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is no whole number", file, text[:min(len(text), 40)])
	}
	return float64(number), nil
}

// fraction returns the number in one file as a fraction of the number in another.
func (d device) fraction(file, fullFile string) (float64, error) {
	value, err := d.number(file)
	if err != nil {
		return 0, err
	}
	full, err := d.number(fullFile)
	if err == nil && !(full > 0) {
		err = fmt.Errorf("%s: %.4g", fullFile, full)
	}
	return value / full, err
}

// diskFiles is the path of a root folder on disk.
type diskFiles string

// readLine returns the first line of a regular file. Any other file is an error, as the path may also name a pipe, a
// folder or an endless device.
func (root diskFiles) readLine(path string) (string, error) {
	name := filepath.Base(path)
	f, err := os.OpenFile(filepath.Join(string(root), path), os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return "", withoutPath(name, err)
	}
	defer func() { _ = f.Close() }() // the file is only read, so an error of Close loses no data
	if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() {
		return "", fmt.Errorf("%s: not a regular file", name)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return "", withoutPath(name, err)
	}
	return firstLine(name, string(text))
}

func (root diskFiles) listDir(dir string) ([]string, error) {
	f, err := os.OpenFile(filepath.Join(string(root), dir), os.O_RDONLY|syscall.O_NONBLOCK|syscall.O_DIRECTORY, 0)
	if err != nil {
		return nil, withoutPath(dir, err)
	}
	defer func() { _ = f.Close() }() // the folder is only read, so an error of Close loses no data
	names, err := f.Readdirnames(maxDirEntries)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, withoutPath(dir, err)
	}
	slices.Sort(names)
	return names, nil
}

// memoryFiles holds the text of files in memory, by path.
type memoryFiles map[string]string

func (m memoryFiles) readLine(path string) (string, error) {
	text, ok := m[path]
	if !ok {
		return "", withoutPath(filepath.Base(path), syscall.ENOENT)
	}
	return firstLine(filepath.Base(path), text)
}

func (m memoryFiles) listDir(dir string) (names []string, err error) {
	for path := range m {
		if rest, ok := strings.CutPrefix(path, dir+"/"); ok {
			names = append(names, strings.Split(rest, "/")[0])
		}
	}
	if len(names) == 0 {
		return nil, withoutPath(dir, syscall.ENOENT)
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// firstLine returns the first line of a file's text, or an error if the text is longer than maxFileBytes.
func firstLine(name, text string) (string, error) {
	if len(text) > maxFileBytes {
		return "", fmt.Errorf("%s: more than %d bytes", name, maxFileBytes)
	}
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line, nil
}

// withoutPath returns an error with the given name in place of the file's path. The path is left out because it is long
// and begins with a root that is the same for all files.
func withoutPath(name string, err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	return fmt.Errorf("%s: %w", name, err)
}
