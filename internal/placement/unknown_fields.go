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

// UnknownFields are the fields of a JSON object that this program does not know, by name. Whoever writes the object again
// writes them too: a program that was rolled back to must not take away what a later version keeps there.
type UnknownFields map[string]json.RawMessage

// UnmarshalKeepingUnknown decodes an object into a pointer to a struct, and returns the fields that the struct does not
// have. A field that differs from one of those in its case alone would be taken for it and then be there twice: it is
// refused.
func UnmarshalKeepingUnknown(text []byte, into any) (UnknownFields, error) {
	return unmarshalWithKnownFields(text, into, jsonFields(reflect.TypeOf(into).Elem()))
}

// MarshalWithUnknown encodes a struct on one line, with the fields that UnmarshalKeepingUnknown returned at its end.
func MarshalWithUnknown(v any, unknown UnknownFields) ([]byte, error) {
	var buf bytes.Buffer
	err := writeLine(&buf, v, unknown)
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), err
}

// jsonFields returns the JSON names of a struct's exported fields, with those of embedded structs.
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

// writeLine appends an object and a line's end, with the unknown fields at the object's end.
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

// unmarshalWithKnownFields decodes an object and returns its fields that are not among the known ones.
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
			return nil, fmt.Errorf("field %.40q", name)
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
