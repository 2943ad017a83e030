// Package prompt turns a caller's prompt into the chain of block hashes by
// which its context is recognised when it returns.
//
// # Model
//
// An engine caches a prompt's key-value state in blocks of a fixed number of
// tokens, and a block is only of use when everything before it is the same. So
// each block's hash covers its own tokens and the hash of the block before it,
// and the first one covers the Scope: organisation salt, model, weight version
// and adapter. Two organisations therefore never share a hash, and a new weight
// version starts afresh. The scheme is the one that the engines publish (see
// docs/PLATFORM.md), so hashes in their cache events can be compared to these.
//
// # Tokens
//
// The stand-in engine takes four bytes of text for a token (TokenBytes); the
// engines of an installation would bring their own tokenizer here.
//
//	scope := prompt.Scope{Salt: salt, Model: "casemodel", Version: "v1"}
//	chain := scope.Chain(text, 16)
//	chain.Len() // whole blocks in text
package prompt

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashSize is the length of a Hash in bytes.
const HashSize = 16

// TokenBytes is how many bytes of text make one token of the stand-in engine.
const TokenBytes = 4

// DefaultBlockTokens is how many tokens make a block where an engine doesn't say.
const DefaultBlockTokens = 16

// Hash identifies a block together with everything before it.
type Hash [HashSize]byte

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads h from hexadecimal.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != HashSize {
		return hex.ErrLength
	}

	_, err := hex.Decode(h[:], b)

	return err
}

// Scope is what two prompts must share before any block of theirs may be the same.
type Scope struct {
	// Salt differs for each organisation. Empty is a scope of its own.
	Salt string
	// Model is the model's name.
	Model string
	// Version is the weight version.
	Version string
	// Adapter is the adapter's name, empty for none.
	Adapter string
}

// Root returns the hash that the first block is chained to.
func (s Scope) Root() Hash {
	d := sha256.New()
	for _, part := range [...]string{s.Salt, s.Model, s.Version, s.Adapter} {
		d.Write([]byte(part))
		d.Write([]byte{0})
	}

	var h Hash

	copy(h[:], d.Sum(nil))

	return h
}

// Next returns the hash of a block with the given content that follows parent.
func Next(parent Hash, content []byte) Hash {
	d := sha256.New()
	d.Write(parent[:])
	d.Write(content)

	var h Hash

	copy(h[:], d.Sum(nil))

	return h
}

// Chain is the list of block hashes of one prompt, in order.
type Chain []Hash

// Len returns the number of whole blocks.
func (c Chain) Len() int { return len(c) }

// Tokens returns the number of tokens in text.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Chain returns the hashes of the whole blocks in text, with blockTokens tokens
// a block. What is left over at the end belongs to no block.
func (s Scope) Chain(text string, blockTokens int) Chain {
	size := blockTokens * TokenBytes
	if size <= 0 {
		return nil
	}

	chain := make(Chain, 0, len(text)/size)
	parent := s.Root()

	for i := 0; i+size <= len(text); i += size {
		parent = Next(parent, []byte(text[i:i+size]))
		chain = append(chain, parent)
	}

	return chain
}

// Shared returns how many leading blocks c and other have in common.
func (c Chain) Shared(other Chain) int {
	n := min(len(c), len(other))
	for i := range n {
		if c[i] != other[i] {
			return i
		}
	}

	return n
}
