// Package keys generates signing keys, stores them in key files with or without encryption, and loads and lists the key files.
//
// Invariant: no error and no log line contains a private key or a passphrase, and a key file that other users can read is
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

// Errors of key files. Functions wrap them with the path of the file.
var (
	ErrInsecureMode    = errors.New("other users can read the file; set its mode to 0600")
	ErrWrongPassphrase = errors.New("wrong passphrase")
	ErrNotKeyFile      = errors.New("not a key file")
	ErrExists          = errors.New("file already exists")
	ErrNoPassphrase    = errors.New("key is encrypted and no passphrase was given")
)

// Key is a signing key with its public key and identifier. It is safe for concurrent use.
type Key struct {
	Private crypto.Signer
	Public  *metadata.Key
	ID      string // TUF key identifier: the SHA-256 of the public key's canonical form
	Path    string // path of the key file; empty for a generated key that has not been saved
}

// Signer returns a signer for the private key, of the type that go-tuf uses to sign metadata.
func (k *Key) Signer() (signature.Signer, error) {
	return signature.LoadSigner(k.Private, crypto.SHA256)
}

// String returns the key type and the first 8 characters of the identifier. It reveals nothing of the private key.
func (k *Key) String() string { return fmt.Sprintf("%s key %.8s", k.Public.Type, k.ID) }

// Generate generates a key of the given type: "ed25519", or "ecdsa" on the curve P-256.
func Generate(keyType string) (*Key, error) {
	var private crypto.Signer
	var err error
	switch keyType {
	case "ed25519":
		_, private, err = ed25519.GenerateKey(rand.Reader)
	case "ecdsa":
		private, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	default:
		return nil, fmt.Errorf("unknown key type %q, allowed: ed25519, ecdsa", keyType)
	}
	if err != nil {
		return nil, err
	}
	return newKey(private)
}

// newKey derives the public key and its identifier from a private key.
func newKey(private crypto.Signer) (*Key, error) {
	public, err := metadata.KeyFromPublicKey(private.Public())
	if err != nil {
		return nil, err
	}
	id, err := public.ID()
	return &Key{Private: private, Public: public, ID: id}, err
}
