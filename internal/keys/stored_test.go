package keys

import (
	"crypto"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var updateStored = flag.Bool("update", false, "regenerate testdata/stored")

var storedKeys = []struct{ name, keyType, passphrase string }{
	{"ed25519-plain", "ed25519", ""},
	{"ed25519-sealed", "ed25519", "pass phrase of the stored key"},
	{"ecdsa-plain", "ecdsa", ""},
	{"ecdsa-sealed", "ecdsa", "pass phrase of the stored key"},
}

// TestLoad_StoredKeyFiles checks that key files written by an earlier version can be loaded, listed and used for signing, and
// that a key keeps its identifier when it is saved again.
func TestLoad_StoredKeyFiles(t *testing.T) {
	stored := filepath.Join("testdata", "stored")
	if *updateStored {
		writeStored(t, stored)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(stored)); err != nil {
		t.Fatal(err)
	}
	for _, s := range storedKeys { // a checkout gives key files a mode that Load refuses, so their mode is set to 0600
		if err := os.Chmod(filepath.Join(dir, s.name+Suffix), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	listed, err := List(dir)
	if err != nil || len(listed) != len(storedKeys) {
		t.Fatalf("List: %+v, error %v", listed, err)
	}
	byPath := map[string]KeyInfo{}
	for _, l := range listed {
		byPath[l.Path] = l
	}
	for _, s := range storedKeys {
		t.Run(s.name, func(t *testing.T) {
			path := filepath.Join(dir, s.name+Suffix)
			k, err := Load(path, passphraseFunc(s.passphrase))
			if err != nil {
				t.Fatal(err)
			}
			public, id, err := LoadPublic(path)
			if err != nil || id != k.ID {
				t.Errorf("the public key has the identifier %s, the key file %s; %v", id, k.ID, err)
			}
			if l := byPath[path]; l.ID != k.ID || l.Type != public.Type || l.Encrypted != (s.passphrase != "") || l.ReadError != "" {
				t.Errorf("listed as %+v", l)
			}
			checkSignerKey(t, k)
			copyPath := filepath.Join(t.TempDir(), "again"+Suffix)
			if err := k.Save(copyPath, []byte(s.passphrase)); err != nil {
				t.Fatal(err)
			}
			if again, err := Load(copyPath, passphraseFunc(s.passphrase)); err != nil || again.ID != k.ID {
				t.Errorf("loading the key that was saved again: %v", err)
			}
		})
	}
}

// checkSignerKey checks that the signer of a key has the same public key as the key.
func checkSignerKey(t *testing.T, k *Key) {
	t.Helper()
	signer, err := k.Signer()
	if err != nil {
		t.Fatal(err)
	}
	public, err := signer.PublicKey()
	if err != nil {
		t.Fatal(err)
	}
	if own, ok := k.Private.Public().(interface{ Equal(crypto.PublicKey) bool }); !ok || !own.Equal(public) {
		t.Error("the signer has another public key")
	}
}

// writeStored generates new key files in testdata/stored. These keys are used by TestLoad_StoredKeyFiles alone.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	if err := os.MkdirAll(stored, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, s := range storedKeys {
		path := filepath.Join(stored, s.name+Suffix)
		for _, old := range []string{path, PublicPath(path)} {
			if err := os.Remove(old); err != nil && !os.IsNotExist(err) {
				t.Fatal(err)
			}
		}
		k, err := Generate(s.keyType)
		if err != nil {
			t.Fatal(err)
		}
		if err := k.Save(path, []byte(s.passphrase)); err != nil {
			t.Fatal(err)
		}
	}
}
