package keys

import (
	"path/filepath"
	"slices"
)

// KeyInfo describes one key file.
type KeyInfo struct {
	Path      string
	Type      string
	ID        string
	Encrypted bool
	ReadError string // why the file was refused; empty for a valid file. A refused file has no Type and no ID.
}

// List returns the key files of the folder dir, sorted by path. If a file is refused, its entry says why in ReadError.
func List(dir string) ([]KeyInfo, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var all []KeyInfo
	for _, path := range paths {
		f, err := readFile(path)
		if err != nil {
			all = append(all, KeyInfo{Path: path, ReadError: err.Error()})
			continue
		}
		all = append(all, KeyInfo{Path: path, Type: f.Type, ID: f.ID, Encrypted: f.Encrypted})
	}
	return all, nil
}
