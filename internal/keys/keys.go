// Package keys owns signing keys as files: made, encrypted, read back, listed. A key's file has mode 0600 or
// is refused. Private keys and pass phrases are never part of an error or a log line.
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
	ErrMode         = errors.New("its mode lets others read it; 0600 is wanted")
	ErrPassphrase   = errors.New("the pass phrase does not open it")
	ErrNotKeyFile   = errors.New("not a key file")
	ErrExists       = errors.New("there is a file already")
	ErrNoPassphrase = errors.New("it is encrypted, and no pass phrase was given")
)

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
