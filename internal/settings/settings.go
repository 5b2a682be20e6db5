// Package settings parses the JSON settings document that a site gives to each of its relays, and returns a typed value.
// The bench adapter and the production relay share this package.
//
// This package and internal/benchadapter are the only two places where the names of the bench's wire format are mapped to
// the standard terms. In this package, schema.go holds the whole mapping. The meaning of a name depends on its position
// in the document. Names of classes, tenants, zones, machine kinds and load columns may be any text. A name that the
// schema does not list at its position is ignored.
//
// The fields of Site and of balancer.Settings document the unit, the range and the default of each setting. In addition:
//
//   - null counts as missing. A value of a wrong type is an error for each setting that the schema checks.
//   - A duration is a number of seconds that is not negative. A duration above 100 hours is read as 100 hours. In a
//     setting for a window over which the site enforces a limit, such a duration is an error; see boundedDuration.
//   - A name that occurs twice in one object, text that is not UTF-8, and a number beyond the range of a float64 are
//     errors.
//
// An error gives the name of the setting as it is in the document; see Error.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// ErrNotUTF8 is the error for a document that is not UTF-8 text.
var ErrNotUTF8 = errors.New("not UTF-8")

// Error is an error in one setting.
type Error struct {
	// Setting is the path of the setting in the document, such as "limits.send_cap". For an element of a list, it is
	// the index of the element, such as "place 0".
	Setting string
	// Err is the reason. If Setting is a list with an error in one element, Err is the *Error of that element.
	Err error
}

// Error returns the path of the setting and the reason.
func (e *Error) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the reason, Err.
func (e *Error) Unwrap() error { return e.Err }

// Read parses a settings document. The returned Site shares no memory with text.
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

// checkUniqueNames reads one JSON value. It returns an error if a name occurs twice in an object of that value, because
// the document then does not say which of the two members applies. path is the path of the value in the document, for
// errors.
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
	_, err = decoder.Token() // reads the closing bracket
	return err
}

// checkUniqueMembers is checkUniqueNames for the members of an object whose opening bracket has been read.
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
