package keys

import (
	"path/filepath"
	"slices"
)

// KeyInfo is one key of a folder.
type KeyInfo struct {
	Path, Type, ID string
	Encrypted      bool
	Fault          string
}

// List tells what keys a folder has, by path. A file that is refused is listed with its fault.
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
			all = append(all, KeyInfo{Path: path, Fault: err.Error()})
			continue
		}
		all = append(all, KeyInfo{Path: path, Type: f.Type, ID: f.ID, Encrypted: f.Encrypted})
	}
	return all, nil
}
