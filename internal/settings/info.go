// Package info turns the settings object that a relay is given into a plain map in the
// project's words. The adapter and the real relay share it.
//
// What a name means follows from its place in the document alone (table.go): a class, customer, zone,
// machine kind or figure keeps its name whatever that is, and the same word elsewhere stays as it is.
// Members of an object get its name before theirs. What the table lacks passes untouched under its own
// path; there a name that is no plain word, or that would make the path one of ours, stands in quotes, so
// that it never is taken for another setting.
//
// docs/relay.md says under "Settings" what is made of values that are missing, null, zero, negative, huge
// or fractional. An error names the setting as the document does.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Read turns the wire's settings into a plain map in our words; a list of objects becomes a list of maps.
func Read(text []byte) (map[string]any, error) {
	out, err := read(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return out, nil
}

func read(text []byte) (map[string]any, error) {
	if !utf8.Valid(text) {
		return nil, errors.New("not UTF-8")
	}
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	if err := single(json.NewDecoder(bytes.NewReader(text)), ""); err != nil {
		return nil, err
	}
	out := map[string]any{}
	if err := document.translate("", "", taken, raw, out); err != nil {
		return nil, err
	}
	return out, complete(out)
}

// single refuses an object that has a name twice: which of the two counts is anyone's guess.
func single(d *json.Decoder, path string) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			token, err := d.Token()
			if err != nil {
				return err
			}
			name, _ := token.(string)
			if seen[name] {
				return fmt.Errorf("%s: stands twice", short(path+name))
			}
			seen[name] = true
			if err := single(d, path+name+"."); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := single(d, fmt.Sprintf("%s[%d].", path, i)); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = d.Token()
	return err
}

// translate takes the members of one object. theirs and ours are the paths that stand before a member's
// name, and taken those of all settings of ours.
func (all members) translate(theirs, ours string, taken map[string]bool, from, to map[string]any) error {
	for name, value := range from {
		is, known := all[name]
		switch object, _ := value.(map[string]any); {
		case value == nil: // absent
		case !known:
			pass(ours, name, taken, value, to)
		case is.members != nil && object == nil:
			return fmt.Errorf("%s: %w", theirs+name, wanted("an object", value))
		case is.members != nil:
			if err := is.members.translate(theirs+name+".", ours+is.ours+".", taken, object, to); err != nil {
				return err
			}
		case is.take != nil:
			v, err := is.take(value)
			if err != nil {
				return fmt.Errorf("%s: %w", theirs+name, err)
			}
			to[ours+is.ours] = v
		case object != nil:
			for name, value := range object {
				pass(ours+is.ours+".", name, taken, value, to)
			}
		default:
			to[ours+is.ours] = value
		}
	}
	return nil
}

// pass keeps what the table lacks.
func pass(path, name string, taken map[string]bool, value any, to map[string]any) {
	if path += name; !plain(name) || taken[path] {
		path = path[:len(path)-len(name)] + strconv.Quote(name)
	}
	switch v := value.(type) {
	case nil: // absent
	case map[string]any:
		for name, value := range v {
			pass(path+".", name, taken, value, to)
		}
	default:
		to[path] = value
	}
}

// plain: letters, digits, '_' and '-' alone, so that no dot or quote of a name is taken for one of ours.
func plain(name string) bool {
	for i := range len(name) {
		switch c := name[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_', c == '-':
		default:
			return false
		}
	}
	return name != ""
}

// wanted says what stands where something else was wanted, of a long value the beginning.
func wanted(what string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s is wanted, not %s", what, short(string(text)))
}

func short(text string) string {
	const most = 80
	if len(text) <= most {
		return text
	}
	for i := range text { // between two characters
		if i >= most {
			return text[:i] + "..."
		}
	}
	return text
}

// complete says what the absence of a setting means, where its zero would stop the relay or break a rule.
func complete(out map[string]any) error {
	types, _ := out["op_types"].([]map[string]any)
	if len(types) == 0 {
		return errors.New("grades: a list of classes is wanted, with one of them at the least")
	}
	longest := 0.0
	for _, op := range types {
		target, _ := op["service_target"].(float64)
		timeout, _ := op["command_timeout"].(float64)
		switch {
		case target == 0 && timeout == 0:
			return fmt.Errorf("grades: %s has neither on_time nor deadline", strconv.Quote(short(op["name"].(string))))
		case target == 0: // an answer is of use as long as the client waits
			op["service_target"] = timeout
		case timeout == 0:
			timeout = target
			op["command_timeout"] = target
		}
		longest = max(longest, timeout)
		if _, ok := op["repeats"]; !ok {
			op["repeats"] = atMostOnce
		}
	}
	above := func(name string) bool { v, _ := out[name].(float64); return v > 0 }
	if _, ok := out["limits.max_deliveries"]; !ok {
		out["limits.max_deliveries"] = 1.0
	}
	if !above("limits.connect_timeout") { // the time of a command limits it
		out["limits.connect_timeout"] = longest
	}
	if above("rules.cold") && !above("rules.tip_after") { // the widest window keeps the rule for any
		out["rules.tip_after"] = out["rules.cold"]
	}
	if !above("rollout.exposure_window") { // what is free in no time would be free again at once
		delete(out, "rollout.exposure_free")
	}
	return nil
}
