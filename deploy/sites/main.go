// Command sites derives variants of a site file. A site file describes a deployment to the bench, which is the program that tests
// the balancer through cmd/bench-adapter. The site file gives the tiers, request classes, tenants, load and limits of the
// deployment. A short file of changes lists how a variant differs from the original site file.
//
//	go run ./deploy/sites -from SITE.toml deploy/sites/harbour-radio.toml ...
//
// Each variant is written to a directory of its own, with copies of the files that the bench reads from the directory of a site
// file. The generated files are not kept in the repository.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/pelletier/go-toml/v2"
)

func main() {
	from := flag.String("from", "", "the site file from which the variants are made")
	to := flag.String("to", "deploy/sites/made", "the directory below which each variant gets one of its own")
	flag.Parse()
	if *from == "" || flag.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "usage: sites -from SITE.toml [-to DIR] CHANGES.toml...")
		os.Exit(2)
	}
	for _, changes := range flag.Args() {
		sitePath, err := makeVariant(*from, changes, *to)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", changes, err)
			os.Exit(1)
		}
		fmt.Println(sitePath)
	}
}

// makeVariant reads the site file at the path from, and the changes at changesPath. It writes the variant to a
// directory of its own below the directory to, and returns the path of the variant's site file. All input is read and
// checked before anything is written.
func makeVariant(from, changesPath, to string) (string, error) {
	var site map[string]any
	if err := readTOML(from, &site, false); err != nil {
		return "", err
	}
	var changes variant
	if err := readTOML(changesPath, &changes, true); err != nil {
		return "", err
	}
	removed, err := changes.apply(site)
	if err != nil {
		return "", err
	}
	name := strings.TrimSuffix(filepath.Base(changesPath), ".toml")
	text, err := toml.Marshal(site)
	if err != nil {
		return "", fmt.Errorf("writing the site: %w", err)
	}
	files := map[string][]byte{name + ".toml": text}
	copiedFiles := []string{"real.json", "unlock.txt"}
	if wire, named := site["wire"].(string); named {
		copiedFiles = append(copiedFiles, wire)
	}
	for _, file := range copiedFiles {
		if file != filepath.Base(file) {
			return "", fmt.Errorf("%q is not the name of a file beside the site", file)
		}
		text, err := os.ReadFile(filepath.Join(filepath.Dir(from), file))
		if err != nil {
			return "", err
		}
		if err := checkDialect(file, text, removed); err != nil {
			return "", err
		}
		files[file] = text
	}
	return filepath.Join(to, name, name+".toml"), writeFiles(filepath.Join(to, name), files)
}

func writeFiles(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for file, text := range files {
		if err := renameio.WriteFile(filepath.Join(dir, file), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func readTOML(path string, into any, strict bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(into); err != nil {
		// The String methods of StrictMissingError and DecodeError show the line of the file that has the error. Their
		// Error methods do not.
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return fmt.Errorf("%s: unknown entries:\n%s", path, unknown.String())
		}
		var malformed *toml.DecodeError
		if errors.As(err, &malformed) {
			return fmt.Errorf("%s: malformed:\n%s", path, malformed.String())
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// checkDialect returns an error if a JSON file contains the name of a dropped or renamed element as a key or as a
// string. The variant gets an unchanged copy of the file, so a reference to the element would be wrong in it.
// checkDialect cannot tell a reference from a word with another meaning, and refuses both. It does not check files that
// are not JSON.
func checkDialect(file string, text []byte, removed []element) error {
	if filepath.Ext(file) != ".json" {
		return nil
	}
	var dialect any
	if err := json.Unmarshal(text, &dialect); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return walkStrings(dialect, file, func(location, word string) error {
		for _, e := range removed {
			if e.name == word {
				return fmt.Errorf("%s %q is renamed or dropped, but is still used at %s", e.kind, e.name, location)
			}
		}
		return nil
	})
}

// walkStrings calls visit with each key and each string below node, and with its location.
func walkStrings(node any, location string, visit func(location, word string) error) error {
	switch node := node.(type) {
	case string:
		return visit(location, node)
	case []any:
		for i, value := range node {
			if err := walkStrings(value, fmt.Sprintf("%s[%d]", location, i), visit); err != nil {
				return err
			}
		}
	case map[string]any:
		for _, key := range sortedKeys(node) {
			below := location + "." + key
			if err := visit(below, key); err != nil {
				return err
			}
			if err := walkStrings(node[key], below, visit); err != nil {
				return err
			}
		}
	}
	return nil
}
