// Package organisation authenticates callers by key and finds their organisation.
//
// # Model
//
// Callers present a key; the settings hold its SHA-256 hash, so that neither the log
// nor a settings file reveals a key. An organisation may have several keys at once:
// to rotate one, publish the hash of the new key in addition to the old one, hand out
// the new key, and publish the settings again without the old hash.
//
// A KeyRegistry is built from one version of the settings and is immutable, so that a
// request in flight keeps the organisation that it was authenticated with.
//
//	r := organisation.NewKeyRegistry(tree)
//	name, err := r.Authenticate(credential)
package organisation

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"hash/maphash"
	"slices"
	"strings"

	"boragehub/failure"
	"boragehub/setting"
)

const (
	hashPrefix = "sha256:"
	keyPrefix  = "bh-"
	keyBytes   = 32
	// maxCredentialBytes bounds the hashing work for unauthenticated callers.
	maxCredentialBytes = 512
)

// KeyRegistry finds organisations by their callers' keys. It is immutable and safe for
// concurrent use. Use NewKeyRegistry.
type KeyRegistry struct {
	seed maphash.Seed
	// keyHolders are indexed by a seeded hash of the key's hash. The seed is secret, so
	// that the duration of a lookup reveals nothing about the stored hashes.
	keyHolders map[uint64][]keyHolder
	byName     map[string]setting.Organisation
}

// keyHolder is the organisation that holds the key with the hash sum.
type keyHolder struct {
	sum          [sha256.Size]byte
	organisation string
}

// NewKeyRegistry returns the KeyRegistry for the organisations in t.
func NewKeyRegistry(t *setting.Tree) *KeyRegistry {
	r := &KeyRegistry{
		seed:       maphash.MakeSeed(),
		keyHolders: map[uint64][]keyHolder{},
		byName:     map[string]setting.Organisation{},
	}

	for _, o := range t.Organisations() {
		r.byName[o.Name] = o
		for _, key := range o.Keys {
			r.addKey(o.Name, key)
		}
	}

	return r
}

// addKey adds the hash of a key. An invalid hash is ignored; the tree's validation has
// excluded it.
func (r *KeyRegistry) addKey(name, key string) {
	h := keyHolder{organisation: name}

	b, err := hex.DecodeString(strings.TrimPrefix(key, hashPrefix))
	if err != nil || copy(h.sum[:], b) != sha256.Size {
		return
	}

	index := maphash.Bytes(r.seed, h.sum[:])
	r.keyHolders[index] = append(r.keyHolders[index], h)
}

// Authenticate returns the name of the organisation that holds the key credential. The
// error is failure.Unauthenticated, or failure.Forbidden if the organisation is
// blocked; it never contains the credential.
func (r *KeyRegistry) Authenticate(credential string) (string, error) {
	if credential == "" || len(credential) > maxCredentialBytes {
		return "", failure.New(failure.Unauthenticated, "a key is required")
	}

	sum := sha256.Sum256([]byte(credential))
	name := ""

	for _, h := range r.keyHolders[maphash.Bytes(r.seed, sum[:])] {
		if subtle.ConstantTimeCompare(h.sum[:], sum[:]) == 1 {
			name = h.organisation
		}
	}

	if name == "" {
		return "", failure.New(failure.Unauthenticated, "the key is not known")
	}

	if r.byName[name].Blocked {
		return "", failure.New(failure.Forbidden, "the organisation is blocked")
	}

	return name, nil
}

// Authorise returns nil if the named organisation may use service, and a
// failure.Forbidden otherwise. An organisation without a list of services may use all.
func (r *KeyRegistry) Authorise(name, service string) error {
	o, ok := r.byName[name]
	if !ok || o.Blocked {
		return failure.New(failure.Forbidden, "the organisation is not known or blocked")
	}

	if len(o.Services) > 0 && !slices.Contains(o.Services, service) {
		return failure.New(failure.Forbidden, "the organisation may not use %s", service)
	}

	return nil
}

// Len returns the number of organisations.
func (r *KeyRegistry) Len() int { return len(r.byName) }

// NewKey returns a new random key for callers and its hash for the settings.
func NewKey() (key, hash string) {
	var b [keyBytes]byte

	_, _ = rand.Read(b[:]) // never fails

	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])

	return key, HashKey(key)
}

// HashKey returns the hash of a key in the form that the settings hold.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hashPrefix + hex.EncodeToString(sum[:])
}
