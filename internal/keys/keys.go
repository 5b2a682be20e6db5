// Package keys owns signing keys as files: made, encrypted, read back, listed. A key's file has mode 0600 or
// is refused. Private keys and pass phrases are never part of an error or a log line.
package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/sigstore/sigstore/pkg/signature"
	"github.com/theupdateframework/go-tuf/v2/metadata"
	"golang.org/x/crypto/chacha20poly1305"
	"golang.org/x/crypto/scrypt"
)

// Errors of key files.
var (
	ErrMode         = errors.New("its mode lets others read it; 0600 is wanted")
	ErrPassphrase   = errors.New("the pass phrase does not open it")
	ErrNotKeyFile   = errors.New("not a key file")
	ErrExists       = errors.New("there is a file already")
	ErrNoPassphrase = errors.New("it is encrypted, and no pass phrase was given")
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

// Key is a key that can sign.
type Key struct {
	Private crypto.Signer
	Public  *metadata.Key
	ID      string
	Path    string
}

// Signer gives the key to the library that signs metadata.
func (k *Key) Signer() (signature.Signer, error) {
	return signature.LoadSigner(k.Private, crypto.SHA256)
}

// String never tells the private part.
func (k *Key) String() string { return fmt.Sprintf("%s key %.8s", k.Public.Type, k.ID) }

// Generate makes a key of a type: ed25519, or ecdsa on P-256.
func Generate(kind string) (*Key, error) {
	var private crypto.Signer
	var err error
	switch kind {
	case "ed25519":
		_, private, err = ed25519.GenerateKey(rand.Reader)
	case "ecdsa":
		private, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	default:
		return nil, fmt.Errorf("key type %q, allowed: ed25519, ecdsa", kind)
	}
	if err != nil {
		return nil, err
	}
	return newKey(private)
}

func newKey(private crypto.Signer) (*Key, error) {
	public, err := metadata.KeyFromPublicKey(private.Public())
	if err != nil {
		return nil, err
	}
	id, err := public.ID()
	return &Key{Private: private, Public: public, ID: id}, err
}

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

// KeyInfo is one key of a folder.
type KeyInfo struct {
	Path, Type, ID string
	Encrypted      bool
	Fault          string
}

// List tells what keys a folder has, by path. A file that is refused is listed with its fault.
func List(dir string) ([]KeyInfo, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var all []KeyInfo
	for _, path := range paths {
		f, err := readFile(path)
		if err != nil {
			all = append(all, KeyInfo{Path: path, Fault: err.Error()})
			continue
		}
		all = append(all, KeyInfo{Path: path, Type: f.Type, ID: f.ID, Encrypted: f.Encrypted})
	}
	return all, nil
}

// PassphraseFrom reads the pass phrase from the file that a variable of the environment names, or
// from the variable itself.
func PassphraseFrom(env func(string) string) func() ([]byte, error) {
	return func() ([]byte, error) {
		if path := env("COVE_PASSPHRASE_FILE"); path != "" {
			info, err := os.Stat(path)
			if err != nil {
				return nil, err
			}
			if info.Mode().Perm()&0o077 != 0 {
				return nil, fmt.Errorf("%s: %w", path, ErrMode)
			}
			text, err := os.ReadFile(path)
			return bytes.TrimRight(text, "\r\n"), err
		}
		return []byte(env("COVE_PASSPHRASE")), nil
	}
}
