package keys

import (
	"path/filepath"
	"slices"
)

// KeyInfo is one key file of a folder.
type KeyInfo struct {
	Path      string
	Type      string
	ID        string
	Encrypted bool
	ReadError string // why it was refused, empty for a good one; Type and ID are empty then
}

// List lists the key files of a folder by path. One that is refused is listed with its fault.
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
