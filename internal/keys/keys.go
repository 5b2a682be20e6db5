// Package keys keeps signing keys in files: it makes, encrypts, reads and lists them.
//
// Invariant: private keys and passphrases are never part of an error or a log line, and a key file that others may read is
// refused.
package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/sigstore/sigstore/pkg/signature"
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Errors of key files.
var (
	ErrInsecureMode    = errors.New("its mode lets others read it; 0600 is wanted")
	ErrWrongPassphrase = errors.New("the pass phrase does not open it")
	ErrNotKeyFile      = errors.New("not a key file")
	ErrExists          = errors.New("there is a file already")
	ErrNoPassphrase    = errors.New("it is encrypted, and no pass phrase was given")
)

// Key is a key that can sign. It is safe for concurrent use.
type Key struct {
	Private crypto.Signer
	Public  *metadata.Key
	ID      string // of TUF: the SHA-256 of the public key's canonical form
	Path    string // of its file, empty before Save
}

// Signer is the key for the library that signs metadata.
func (k *Key) Signer() (signature.Signer, error) {
	return signature.LoadSigner(k.Private, crypto.SHA256)
}

// String names the type and the beginning of the identifier, nothing private.
func (k *Key) String() string { return fmt.Sprintf("%s key %.8s", k.Public.Type, k.ID) }

// Generate makes a key of a type: "ed25519", or "ecdsa" on P-256.
func Generate(keyType string) (*Key, error) {
	var private crypto.Signer
	var err error
	switch keyType {
	case "ed25519":
		_, private, err = ed25519.GenerateKey(rand.Reader)
	case "ecdsa":
		private, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	default:
		return nil, fmt.Errorf("key type %q, allowed: ed25519, ecdsa", keyType)
	}
	if err != nil {
		return nil, err
	}
	return newKey(private)
}

// newKey adds the public key and its identifier.
func newKey(private crypto.Signer) (*Key, error) {
	public, err := metadata.KeyFromPublicKey(private.Public())
	if err != nil {
		return nil, err
	}
	id, err := public.ID()
	return &Key{Private: private, Public: public, ID: id}, err
}
