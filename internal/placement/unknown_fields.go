package placement

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// UnknownFields holds the fields of a JSON object that this program does not know, by name. They are written back with the
// object. Otherwise a program that was rolled back to an earlier version would delete the data of the later version.
type UnknownFields map[string]json.RawMessage

// UnmarshalKeepingUnknown decodes a JSON object into the struct that into points to, and returns the fields of the object that
// the struct does not have. A field whose name differs from a struct field's only in case is refused: the decoder would store
// it in the struct field, and the object would then be written with both fields.
func UnmarshalKeepingUnknown(text []byte, into any) (UnknownFields, error) {
	return unmarshalWithKnownFields(text, into, jsonFields(reflect.TypeOf(into).Elem()))
}

// MarshalWithUnknown encodes a struct as a JSON object on one line, which ends with the fields that UnmarshalKeepingUnknown
// returned.
func MarshalWithUnknown(v any, unknown UnknownFields) ([]byte, error) {
	var buf bytes.Buffer
	err := writeLine(&buf, v, unknown)
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), err
}

// jsonFields returns the JSON names of the exported fields of a struct, including those of embedded structs.
func jsonFields(t reflect.Type) map[string]bool {
	all := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		switch {
		case f.Anonymous:
			maps.Copy(all, jsonFields(f.Type))
		case f.IsExported():
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			all[name] = true
		}
	}
	return all
}

// writeLine appends a JSON object and a line feed to a buffer. The unknown fields come last in the object, sorted by name.
func writeLine(buf *bytes.Buffer, v any, unknown UnknownFields) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	buf.Write(text)
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		key, err := json.Marshal(name)
		if err != nil {
			return err
		}
		buf.Truncate(buf.Len() - 1)
		buf.WriteByte(',')
		buf.Write(key)
		buf.WriteByte(':')
		buf.Write(unknown[name])
		buf.WriteByte('}')
	}
	buf.WriteByte('\n')
	return nil
}

// unmarshalWithKnownFields does what UnmarshalKeepingUnknown does. The names in known are the JSON names of the struct's fields
// (jsonFields).
func unmarshalWithKnownFields(text []byte, into any, known map[string]bool) (UnknownFields, error) {
	if err := json.Unmarshal(text, into); err != nil {
		return nil, err
	}
	var all UnknownFields
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	for name := range all {
		switch {
		case known[name]:
			delete(all, name)
		case known[strings.ToLower(name)]:
			return nil, fmt.Errorf("field %.40q differs from a known field in case only", name)
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	for name, value := range all {
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			return nil, err
		}
		all[name] = compact.Bytes()
	}
	return all, nil
}
