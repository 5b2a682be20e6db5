package keys

import (
	"bytes"
	"crypto"
	"crypto/cipher"
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

// File name suffixes of key files and of the public key files beside them.
const (
	Suffix       = ".key"
	PublicSuffix = ".pub"
)

// Cost parameters of scrypt for new key files (RFC 7914). N is the value that the scrypt paper gives for encrypting files.
const (
	scryptN = 1 << 15
	scryptR = 8
	scryptP = 1
)

// Limits on a key file that Load or List reads: its size in bytes and its scrypt cost parameters. scrypt uses 128·N·r bytes, so
// the limits bound the memory that a forged file can make Load allocate.
const (
	maxFileSize = 64 << 10
	maxScryptN  = 1 << 20
	maxScryptR  = 16
	maxScryptP  = 4
)

// saltSize is the length in bytes of the salt in a new key file.
const saltSize = 16

// keyFile is the JSON content of a key file.
type keyFile struct {
	Format    string `json:"form"` // keyFileFormat
	Type      string `json:"type"`
	ID        string `json:"id"`
	Encrypted bool   `json:"encrypted"`
	ScryptN   int    `json:"n,omitempty"` // scrypt cost parameter N
	ScryptR   int    `json:"r,omitempty"` // scrypt block size r
	ScryptP   int    `json:"p,omitempty"` // scrypt parallelization p
	Salt      []byte `json:"salt,omitempty"`
	Nonce     []byte `json:"nonce,omitempty"`
	Key       []byte `json:"key"` // private key in PKCS #8, encrypted with XChaCha20-Poly1305 if Encrypted
}

// keyFileFormat is the name and version of the key file format.
const keyFileFormat = "silvercove-key-1"

// Save writes a key file, and beside it the public key file (see PublicPath). If passphrase is empty, the private key is stored
// unencrypted, which is meant for online keys only. Save returns an error that wraps ErrExists if the key file exists.
func (k *Key) Save(path string, passphrase []byte) error {
	if _, err := os.Lstat(path); err == nil {
		return fmt.Errorf("%s: %w", path, ErrExists)
	}
	der, err := x509.MarshalPKCS8PrivateKey(k.Private)
	if err != nil {
		return fmt.Errorf("%s: the private key cannot be encoded", path)
	}
	f := keyFile{Format: keyFileFormat, Type: k.Public.Type, ID: k.ID, Key: der}
	if len(passphrase) > 0 {
		f.Encrypted, f.ScryptN, f.ScryptR, f.ScryptP = true, scryptN, scryptR, scryptP
		f.Salt, f.Nonce = make([]byte, saltSize), make([]byte, chacha20poly1305.NonceSizeX)
		rand.Read(f.Salt)
		rand.Read(f.Nonce)
		aead, err := f.cipher(passphrase)
		if err != nil {
			return err
		}
		f.Key = aead.Seal(nil, f.Nonce, der, f.associatedData())
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

// PublicPath returns the path of the public key file beside a key file.
func PublicPath(path string) string { return strings.TrimSuffix(path, Suffix) + PublicSuffix }

// cipher returns the cipher that encrypts the private key. The key of the cipher is derived from the passphrase with scrypt.
func (f *keyFile) cipher(passphrase []byte) (cipher.AEAD, error) {
	secret, err := scrypt.Key(passphrase, f.Salt, f.ScryptN, f.ScryptR, f.ScryptP, chacha20poly1305.KeySize)
	if err != nil {
		return nil, fmt.Errorf("scrypt cost parameters: %w", ErrNotKeyFile)
	}
	return chacha20poly1305.NewX(secret)
}

// associatedData returns the unencrypted fields that the encryption of the private key authenticates.
func (f *keyFile) associatedData() []byte { return []byte(f.Format + "/" + f.Type + "/" + f.ID) }

// Load reads a key file. It calls the function passphrase only if the private key is encrypted. The error of Load wraps
// ErrInsecureMode, ErrNotKeyFile, ErrNoPassphrase or ErrWrongPassphrase, or comes from the function passphrase or the file
// system.
func Load(path string, passphrase func() ([]byte, error)) (*Key, error) {
	f, err := readFile(path)
	if err != nil {
		return nil, err
	}
	der := f.Key
	if f.Encrypted {
		if der, err = f.decrypt(path, passphrase); err != nil {
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
		return nil, fmt.Errorf("%s: the identifier belongs to another key: %w", path, ErrNotKeyFile)
	}
	k.Path = path
	return k, nil
}

// decrypt returns the decrypted private key. It calls ask to get the passphrase; path is used in errors.
func (f *keyFile) decrypt(path string, ask func() ([]byte, error)) ([]byte, error) {
	if ask == nil {
		return nil, fmt.Errorf("%s: %w", path, ErrNoPassphrase)
	}
	passphrase, err := ask()
	if err != nil {
		return nil, err
	}
	if len(passphrase) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNoPassphrase)
	}
	if f.ScryptN < 2 || f.ScryptN > maxScryptN || f.ScryptR < 1 || f.ScryptR > maxScryptR || f.ScryptP < 1 || f.ScryptP > maxScryptP ||
		len(f.Nonce) != chacha20poly1305.NonceSizeX {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	aead, err := f.cipher(passphrase)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	der, err := aead.Open(nil, f.Nonce, f.Key, f.associatedData())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, ErrWrongPassphrase)
	}
	return der, nil
}

// readFile reads a key file without decrypting the private key. It refuses a file whose mode permits any access to users other
// than the owner.
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
		return nil, fmt.Errorf("%s: mode %04o: %w", path, info.Mode().Perm(), ErrInsecureMode)
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
	if err := dec.Decode(f); err != nil || f.Format != keyFileFormat {
		return nil, fmt.Errorf("%s: %w", path, ErrNotKeyFile)
	}
	return f, nil
}

// LoadPublic reads a public key and returns it with its identifier. path is the path of the public key file, or of the key file
// beside it. The error wraps ErrNotKeyFile or comes from the file system.
func LoadPublic(path string) (*metadata.Key, string, error) {
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
