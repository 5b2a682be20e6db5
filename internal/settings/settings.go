// Package settings reads the settings document that a site gives each of its relays, and gives it back as one typed value.
// The bench adapter and the real relay share it.
//
// It is one of the two places where the names of the bench's wire are mapped to the standard terms; the mapping stands in
// schema.go alone. What a name means follows from its place in the document: names of classes, tenants, zones, machine
// kinds and load columns are free, and a name that the schema lacks at its place is ignored.
//
// The fields of Site and of balancer.Settings tell the unit, the range and what a missing value means. Beside them holds:
//
//   - null counts as missing; a value of another type is an error for each setting that the schema checks
//   - a span is a number of seconds that is not negative; above 100 hours it counts as 100 hours, or is an error where a
//     shorter one would break a rule of the site
//   - a name twice in one object, text that is not UTF-8 and a number beyond the range of a float64 are errors
//
// An error names the setting as the document does; see Error.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// ErrNotUTF8 is the error of a document that is not UTF-8 text.
var ErrNotUTF8 = errors.New("not UTF-8")

// Error is the error of one setting.
type Error struct {
	// Setting is the setting's path in the document, such as "limits.send_cap", or the place of a list's element.
	Setting string
	// Err tells what is wrong with it. Of an element of a list it is an Error again.
	Err error
}

// Error gives the path and the reason.
func (e *Error) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap gives the reason.
func (e *Error) Unwrap() error { return e.Err }

// Read parses a settings document. The returned Site shares nothing with the text.
func Read(text []byte) (Site, error) {
	site, err := read(text)
	if err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	return site, nil
}

func read(text []byte) (Site, error) {
	if !utf8.Valid(text) {
		return Site{}, ErrNotUTF8
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return Site{}, err
	}
	if err := checkUniqueNames(json.NewDecoder(bytes.NewReader(text)), ""); err != nil {
		return Site{}, err
	}
	var site Site
	if err := documentSchema.assign("", document, &site); err != nil {
		return Site{}, err
	}
	if err := applyDefaults(&site.Balancer); err != nil {
		return Site{}, err
	}
	return site, nil
}

// checkUniqueNames refuses an object that has a name twice: nothing tells which of the two counts.
func checkUniqueNames(decoder *json.Decoder, path string) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		err = checkUniqueMembers(decoder, path)
	case json.Delim('['):
		for i := 0; err == nil && decoder.More(); i++ {
			err = checkUniqueNames(decoder, fmt.Sprintf("%s[%d].", path, i))
		}
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = decoder.Token() // the closing bracket
	return err
}

func checkUniqueMembers(decoder *json.Decoder, path string) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if seen[name] {
			return &Error{Setting: truncate(path + name), Err: errDuplicate}
		}
		seen[name] = true
		if err := checkUniqueNames(decoder, path+name+"."); err != nil {
			return err
		}
	}
	return nil
}
