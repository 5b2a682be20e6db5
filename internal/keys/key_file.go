package keys

import (
	"bytes"
	"crypto"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/theupdateframework/go-tuf/v2/metadata"
	"golang.org/x/crypto/chacha20poly1305"
	"golang.org/x/crypto/scrypt"
)

// Suffix of key files, and of the files with public parts beside them.
const (
	Suffix       = ".key"
	PublicSuffix = ".pub"
)

// scrypt's costs for new files (RFC 7914; N as its paper gives for files), and the most that a file may
// ask for: memory is 128·N·r bytes.
const (
	scryptN, scryptR, scryptP = 1 << 15, 8, 1
	maxScryptN                = 1 << 20
	maxFileSize               = 64 << 10
)

type keyFile struct {
	Form      string `json:"form"` // "silvercove-key-1"
	Type      string `json:"type"`
	ID        string `json:"id"`
	Encrypted bool   `json:"encrypted"`
	N         int    `json:"n,omitempty"`
	R         int    `json:"r,omitempty"`
	P         int    `json:"p,omitempty"`
	Salt      []byte `json:"salt,omitempty"`
	Nonce     []byte `json:"nonce,omitempty"`
	Key       []byte `json:"key"` // PKCS #8, sealed where it is encrypted
}

const keyFileForm = "silvercove-key-1"

// Save writes a key and its public part beside it. Without a pass phrase it is not encrypted: only
// for keys that must be at hand at any time.
func (k *Key) Save(path string, phrase []byte) error {
	if _, err := os.Lstat(path); err == nil {
		return fmt.Errorf("%s: %w", path, ErrExists)
	}
	der, err := x509.MarshalPKCS8PrivateKey(k.Private)
	if err != nil {
		return fmt.Errorf("%s: the key cannot be written", path)
	}
	f := keyFile{Form: keyFileForm, Type: k.Public.Type, ID: k.ID, Key: der}
	if len(phrase) > 0 {
		f.Encrypted, f.N, f.R, f.P = true, scryptN, scryptR, scryptP
		f.Salt, f.Nonce = make([]byte, 16), make([]byte, chacha20poly1305.NonceSizeX)
		rand.Read(f.Salt)
		rand.Read(f.Nonce)
		box, err := f.cipher(phrase)
		if err != nil {
			return err
		}
		f.Key = box.Seal(nil, f.Nonce, der, f.associatedData())
	}
	text, _ := json.MarshalIndent(f, "", "  ")
	if err := renameio.WriteFile(path, append(text, '\n'), 0o600, renameio.WithTempDir(filepath.Dir(path)),
		renameio.IgnoreUmask()); err != nil {
		return err
	}
	k.Path = path
	public, _ := json.MarshalIndent(k.Public, "", "  ")
	return renameio.WriteFile(PublicPath(path), append(public, '\n'), 0o644,
		renameio.WithTempDir(filepath.Dir(path)))
}

// PublicPath is where the public part of a key file stands.
func PublicPath(path string) string { return strings.TrimSuffix(path, Suffix) + PublicSuffix }

func (f *keyFile) cipher(phrase []byte) (interface {
	Seal(dst, nonce, plain, bound []byte) []byte
	Open(dst, nonce, sealed, bound []byte) ([]byte, error)
}, error) {
	secret, err := scrypt.Key(phrase, f.Salt, f.N, f.R, f.P, chacha20poly1305.KeySize)
	if err != nil {
		return nil, fmt.Errorf("costs of the pass phrase: %w", ErrNotKeyFile)
	}
	return chacha20poly1305.NewX(secret)
}

// associatedData ties the open parts of the file to the sealed one.
func (f *keyFile) associatedData() []byte { return []byte(f.Form + "/" + f.Type + "/" + f.ID) }

// Load reads a key file. The phrase is asked for only where it is encrypted.
func Load(path string, phrase func() ([]byte, error)) (*Key, error) {
	f, err := readFile(path)
	if err != nil {
		return nil, err
	}
	der := f.Key
	if f.Encrypted {
		if der, err = f.decrypt(path, phrase); err != nil {
			return nil, err
		}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	private, ok := parsed.(crypto.Signer)
	if err != nil || !ok {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	k, err := newKey(private)
	if err != nil || k.ID != f.ID {
		return nil, fmt.Errorf("%s: its identifier is another key's: %w", path, ErrNotKeyFile)
	}
	k.Path = path
	return k, nil
}

// decrypt opens the sealed private key of an encrypted key file with the pass phrase that phrase returns.
func (f *keyFile) decrypt(path string, phrase func() ([]byte, error)) ([]byte, error) {
	if phrase == nil {
		return nil, fmt.Errorf("%s: %w", path, ErrNoPassphrase)
	}
	passphrase, err := phrase()
	if err != nil {
		return nil, err
	}
	if len(passphrase) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNoPassphrase)
	}
	if f.N < 2 || f.N > maxScryptN || f.R < 1 || f.R > 16 || f.P < 1 || f.P > 4 ||
		len(f.Nonce) != chacha20poly1305.NonceSizeX {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	box, err := f.cipher(passphrase)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	der, err := box.Open(nil, f.Nonce, f.Key, f.associatedData())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, ErrPassphrase)
	}
	return der, nil
}

func readFile(path string) (*keyFile, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	info, err := in.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: mode %04o: %w", path, info.Mode().Perm(), ErrMode)
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	text := make([]byte, info.Size())
	if _, err := io.ReadFull(in, text); err != nil {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	f := &keyFile{}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil || f.Form != keyFileForm {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	return f, nil
}

// Public reads the public part of a key, from its own file or from a key file's neighbour.
func Public(path string) (*metadata.Key, string, error) {
	if strings.HasSuffix(path, Suffix) {
		path = PublicPath(path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	k := &metadata.Key{}
	if err := json.Unmarshal(text, k); err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	if _, err := k.ToPublicKey(); err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	id, err := k.ID()
	return k, id, err
}
