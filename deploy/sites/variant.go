package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// variant is the content of a file of changes to a site. A path joins the keys of nested tables by dots. In a list of
// tables, an element's name takes the place of a key, as in "class.upload.aim_ms". All paths use the names of the
// original site.
type variant struct {
	// Set holds new values of existing keys, by path. A new value has the type of the old one. A range may replace a
	// number, and a list of choices may replace a single choice.
	Set map[string]any `toml:"set"`
	// Add holds the values of new keys and of new named elements of lists, by path.
	Add map[string]any `toml:"add"`
	// Drop lists the paths of the keys and elements to remove.
	Drop []string `toml:"drop"`
	// Rename holds new names of list elements, by path. References to a renamed element are changed to its new name.
	Rename map[string]string `toml:"rename"`
}

// element identifies a named table in a list of tables: [[class]] name = "upload" has the kind class.
type element struct{ kind, name string }

// apply changes the site in place, and returns the elements that were dropped or renamed.
func (v *variant) apply(site map[string]any) ([]element, error) {
	if err := v.setValues(site); err != nil {
		return nil, err
	}
	// Elements are dropped first. A path in Rename, or a longer path in Add, that leads to a dropped element is then an
	// error.
	dropped, err := v.dropPaths(site)
	if err != nil {
		return nil, err
	}
	names, renamed, err := v.newNames(site)
	if err != nil {
		return nil, err
	}
	if err := v.addPaths(site); err != nil {
		return nil, err
	}
	removed := append(dropped, renamed...)
	// All renames happen in one pass at the end, so that two elements can swap names.
	if err := rename(site, "", names, removed); err != nil {
		return nil, err
	}
	return removed, checkNames(site, "")
}

// setValues replaces the values at the paths of Set.
func (v *variant) setValues(site map[string]any) error {
	for _, path := range sortedKeys(v.Set) {
		s, err := find(site, path)
		if err != nil {
			return fmt.Errorf("set %q: %w", path, err)
		}
		old, exists := s.value()
		if !exists {
			return fmt.Errorf("set %q: there is no %q", path, s.last)
		}
		if typeOf(old) != typeOf(v.Set[path]) || typeOf(old) == "table" {
			return fmt.Errorf("set %q: a %s cannot take the place of a %s", path, typeOf(v.Set[path]),
				typeOf(old))
		}
		if s.inList() || s.last == "name" && len(s.path) > 1 {
			return fmt.Errorf("set %q: names are changed by rename", path)
		}
		s.table[s.key] = v.Set[path]
	}
	return nil
}

// dropPaths removes keys and elements, and returns the removed elements.
func (v *variant) dropPaths(site map[string]any) (removed []element, err error) {
	for _, path := range v.Drop {
		s, err := find(site, path)
		if err != nil {
			return nil, fmt.Errorf("drop %q: %w", path, err)
		}
		if _, exists := s.value(); !exists {
			return nil, fmt.Errorf("drop %q: there is no %q", path, s.last)
		}
		if !s.inList() {
			delete(s.table, s.key)
			continue
		}
		removed = append(removed, element{s.key, s.last})
		list := s.table[s.key].([]any)
		s.table[s.key] = slices.Delete(slices.Clone(list), s.index, s.index+1)
	}
	return removed, nil
}

// newNames returns the new names by element, and the elements that are renamed.
func (v *variant) newNames(site map[string]any) (names map[element]string, removed []element, err error) {
	names = map[element]string{}
	for _, path := range sortedKeys(v.Rename) {
		s, err := find(site, path)
		if err != nil {
			return nil, nil, fmt.Errorf("rename %q: %w", path, err)
		}
		if _, exists := s.value(); !exists {
			return nil, nil, fmt.Errorf("rename %q: there is no %q", path, s.last)
		}
		if !s.inList() || v.Rename[path] == "" {
			return nil, nil, fmt.Errorf("rename %q: needs an element of a list and a name", path)
		}
		e := element{s.key, s.last}
		names[e] = v.Rename[path]
		removed = append(removed, e)
	}
	return names, removed, nil
}

// addPaths inserts the keys and elements of Add.
func (v *variant) addPaths(site map[string]any) error {
	for _, path := range sortedKeys(v.Add) {
		s, err := find(site, path)
		if err != nil {
			return fmt.Errorf("add %q: %w", path, err)
		}
		if _, exists := s.value(); exists {
			return fmt.Errorf("add %q: it already exists", path)
		}
		if !s.inList() {
			s.table[s.key] = v.Add[path]
			continue
		}
		table, isTable := v.Add[path].(map[string]any)
		if _, named := table["name"]; !isTable || named {
			return fmt.Errorf("add %q: an element is a table without a name; the path names it", path)
		}
		added := maps.Clone(table)
		added["name"] = s.last
		s.table[s.key] = append(slices.Clone(s.table[s.key].([]any)), added)
	}
	return nil
}

// slot is the position that a path resolves to: a key of a table, or an element of the list of tables at that key.
type slot struct {
	table map[string]any
	key   string
	index int // index in the list, or the list's length if the element does not exist; -1 if the path ends at the key itself
	last  string
	path  []string
}

func (s slot) inList() bool { return s.index >= 0 }

func (s slot) value() (any, bool) {
	if !s.inList() {
		value, exists := s.table[s.key]
		return value, exists
	}
	list := s.table[s.key].([]any)
	if s.index == len(list) {
		return nil, false
	}
	return list[s.index], true
}

// find resolves a path. The last part of the path may name a missing key or element; all parts before it must exist.
func find(site map[string]any, path string) (slot, error) {
	parts := strings.Split(path, ".")
	s := slot{table: site, path: parts}
	var node any = site
	for i, part := range parts {
		if part == "" {
			return s, errors.New("a part of the path is empty")
		}
		s.last = part
		switch container := node.(type) {
		case map[string]any:
			s.table, s.key, s.index = container, part, -1
		case []any:
			if !isTables(container) {
				return s, fmt.Errorf("%q is not a table", strings.Join(parts[:i], "."))
			}
			s.index = len(container)
			for at, e := range container {
				if e.(map[string]any)["name"] != part {
					continue
				}
				if s.index < len(container) {
					return s, fmt.Errorf("two elements are called %q", part)
				}
				s.index = at
			}
		default:
			return s, fmt.Errorf("%q is not a table", strings.Join(parts[:i], "."))
		}
		value, exists := s.value()
		if !exists && i < len(parts)-1 {
			return s, fmt.Errorf("there is no %q", strings.Join(parts[:i+1], "."))
		}
		node = value
	}
	return s, nil
}

// rename gives the elements their new names and updates the references to them. A string is a reference to an element
// if its key equals the key of the element's list. A string in a list is a reference if the key of that list is the key
// of the element's list, or is that key with s or es appended. An element's own name is never a reference. rename
// returns an error if a reference to a dropped element is left. It also returns an error if the name of a dropped or
// renamed element occurs at any other place, because the meaning of the name there is unknown.
func rename(node map[string]any, location string, names map[element]string, removed []element) error {
	for _, key := range sortedKeys(node) {
		below := strings.TrimPrefix(location+"."+key, ".")
		replace := func(name string, kinds ...string) (string, error) {
			for _, kind := range kinds {
				if newName, renamed := names[element{kind, name}]; renamed {
					return newName, nil
				}
			}
			for _, e := range removed {
				if e.name == name {
					return "", fmt.Errorf("%s %q is renamed or dropped, but is still used at %s", e.kind, e.name,
						below)
				}
			}
			return name, nil
		}
		for _, e := range removed {
			if e.name == key {
				return fmt.Errorf("%s %q is renamed or dropped, but is still used at %s", e.kind, e.name, below)
			}
		}
		switch value := node[key].(type) {
		case string:
			newName, err := replace(value, key)
			if err != nil {
				return err
			}
			node[key] = newName
		case map[string]any:
			if err := rename(value, below, names, removed); err != nil {
				return err
			}
		case []any:
			for i, v := range value {
				switch v := v.(type) {
				case string:
					newName, err := replace(v, key, strings.TrimSuffix(key, "s"), strings.TrimSuffix(key, "es"))
					if err != nil {
						return err
					}
					value[i] = newName
				case map[string]any:
					name, named := v["name"].(string)
					delete(v, "name")
					if err := rename(v, below+"."+name, names, removed); err != nil {
						return err
					}
					if newName, renamed := names[element{key, name}]; renamed {
						name = newName
					}
					if named {
						v["name"] = name
					}
				}
			}
		}
	}
	return nil
}

// checkNames returns an error if two elements of a list have the same name, because the bench or a relay could treat
// the two elements as one.
func checkNames(node any, location string) error {
	switch node := node.(type) {
	case map[string]any:
		for _, key := range sortedKeys(node) {
			if err := checkNames(node[key], strings.TrimPrefix(location+"."+key, ".")); err != nil {
				return err
			}
		}
	case []any:
		seen := map[string]bool{}
		for _, e := range node {
			table, is := e.(map[string]any)
			if !is {
				continue
			}
			name, named := table["name"].(string)
			if named && seen[name] {
				return fmt.Errorf("two elements of %s are called %q", location, name)
			}
			seen[name] = true
			if err := checkNames(table, location+"."+name); err != nil {
				return err
			}
		}
	}
	return nil
}

// typeOf returns the name of a value's type. For a list, it is the type of the elements.
func typeOf(value any) string {
	switch value := value.(type) {
	case string:
		return "string"
	case bool:
		return "bool"
	case int64, float64:
		return "number"
	case []any:
		if len(value) == 0 {
			return "empty list"
		}
		for _, v := range value[1:] {
			if typeOf(v) != typeOf(value[0]) {
				return "mixed list"
			}
		}
		return typeOf(value[0])
	case map[string]any:
		return "table"
	}
	return fmt.Sprintf("%T", value)
}

func isTables(list []any) bool {
	return !slices.ContainsFunc(list, func(v any) bool {
		_, is := v.(map[string]any)
		return !is
	})
}

func sortedKeys[V any](table map[string]V) []string { return slices.Sorted(maps.Keys(table)) }
