package keys

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func passphraseFunc(s string) func() ([]byte, error) {
	return func() ([]byte, error) { return []byte(s), nil }
}

func TestKey_SaveAndLoad(t *testing.T) {
	for _, keyType := range []string{"ed25519", "ecdsa"} {
		for _, passphrase := range []string{"", "long enough"} {
			t.Run(keyType+" "+passphrase, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "a.key")
				k, err := Generate(keyType)
				if err != nil {
					t.Fatal(err)
				}
				if err := k.Save(path, []byte(passphrase)); err != nil {
					t.Fatal(err)
				}
				if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
					t.Errorf("mode of the key file is %o, want 600", info.Mode().Perm())
				}
				again, err := Load(path, passphraseFunc(passphrase))
				if err != nil || again.ID != k.ID {
					t.Fatalf("Load: %v", err)
				}
				if _, id, err := LoadPublic(path); err != nil || id != k.ID {
					t.Errorf("public key: identifier %q, error %v", id, err)
				}
				if err := k.Save(path, nil); !errors.Is(err, ErrExists) {
					t.Errorf("an existing key file was overwritten: %v", err)
				}
				if passphrase != "" {
					if _, err := Load(path, passphraseFunc("another")); !errors.Is(err, ErrWrongPassphrase) || strings.Contains(err.Error(), "another") {
						t.Errorf("wrong passphrase: %v", err)
					}
					if _, err := Load(path, nil); !errors.Is(err, ErrNoPassphrase) {
						t.Errorf("no passphrase: %v", err)
					}
				}
			})
		}
	}
	if _, err := Generate("rsa"); err == nil {
		t.Error("a key of an unsupported type was generated")
	}
}

func TestLoad_RefusedFiles(t *testing.T) {
	dir := t.TempDir()
	k, _ := Generate("ed25519")
	path := filepath.Join(dir, "a.key")
	if err := k.Save(path, nil); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	for _, c := range []struct {
		name, text string
		mode       os.FileMode
		want       error
	}{
		{"readable by other users", string(text), 0o640, ErrInsecureMode},
		{"another format", strings.Replace(string(text), "key-1", "key-2", 1), 0o600, ErrNotKeyFile},
		{"identifier of another key", strings.Replace(string(text), k.ID, strings.Repeat("0", 64), 1), 0o600, ErrNotKeyFile},
		{"truncated", string(text[:len(text)/2]), 0o600, ErrNotKeyFile}, {"empty", "", 0o600, ErrNotKeyFile},
		{"excessive scrypt cost", strings.Replace(string(text), `"encrypted": false`, `"encrypted": true, "n": 1073741824, "r": 8, "p": 1`, 1),
			0o600, ErrNotKeyFile},
	} {
		t.Run(c.name, func(t *testing.T) {
			badPath := filepath.Join(t.TempDir(), "b.key")
			if err := os.WriteFile(badPath, []byte(c.text), c.mode); err != nil {
				t.Fatal(err)
			}
			_ = os.Chmod(badPath, c.mode)
			_, err := Load(badPath, passphraseFunc("long enough"))
			if !errors.Is(err, c.want) {
				t.Errorf("Load: %v, want %v", err, c.want)
			}
			if all, err := List(filepath.Dir(badPath)); err != nil || len(all) != 1 || errors.Is(c.want, ErrInsecureMode) && all[0].ReadError == "" {
				t.Errorf("List: %+v, %v", all, err)
			}
		})
	}
	if s := k.String(); strings.Contains(s, string(text)) || len(s) > 40 {
		t.Errorf("String returns %q", s)
	}
}

func TestPassphraseFrom_FileBeforeVariable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "phrase")
	_ = os.WriteFile(path, []byte("from a file\n"), 0o600)
	env := map[string]string{"COVE_PASSPHRASE": "from the environment"}
	get := PassphraseFrom(func(name string) string { return env[name] })
	if p, err := get(); string(p) != "from the environment" || err != nil {
		t.Errorf("passphrase from the environment: %q, %v", p, err)
	}
	env["COVE_PASSPHRASE_FILE"] = path
	if p, err := get(); string(p) != "from a file" || err != nil {
		t.Errorf("passphrase from a file: %q, %v", p, err)
	}
	_ = os.Chmod(path, 0o644)
	if _, err := get(); !errors.Is(err, ErrInsecureMode) {
		t.Errorf("passphrase file readable by other users: %v", err)
	}
}
