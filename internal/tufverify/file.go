package tufverify

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// File is the parsed name of a metadata file. Version is 0 if the name contains no version.
type File struct {
	Role    string
	Version int64
}

// ParseFile parses the name of a metadata file, ROLE.json or N.ROLE.json (sections 3.1.2 and 7.3), and reports whether it is valid.
func ParseFile(name string) (f File, ok bool) {
	name, ok = strings.CutSuffix(name, ".json")
	if !ok || name == "" || len(name) > 256 {
		return f, false
	}
	if number, rest, cut := strings.Cut(name, "."); cut && strings.Trim(number, "0123456789") == "" && number != "" {
		n, err := strconv.ParseInt(number, 10, 62)
		if err != nil || n < 1 || number[0] == '0' || rest == "" {
			return f, false
		}
		f.Version, name = n, rest
	}
	role, err := url.PathUnescape(name)
	if err != nil || strings.ContainsAny(role, "/\\\x00") {
		return f, false
	}
	f.Role = role
	return f, true
}

// String returns the name of the file in a repository.
func (f File) String() string {
	name := url.PathEscape(f.Role) + ".json"
	if f.Version > 0 {
		name = strconv.FormatInt(f.Version, 10) + "." + name
	}
	return name
}

// MetadataType returns the top-level role whose metadata type the file has. The files of delegated roles have the type of
// targets.
func (f File) MetadataType() string {
	if slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], f.Role) {
		return f.Role
	}
	return metadata.TARGETS
}
