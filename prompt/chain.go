// Package prompt computes the chain of block hashes of a prompt, by which its KV
// cache is found when a later prompt begins with the same text.
//
// # Model
//
// An engine's KV cache stores a prompt in blocks of a fixed number of tokens, and a
// block can only be reused if everything before it is the same. Each block's hash
// therefore covers its own tokens and the hash of the block before it, and the first
// one covers the Scope: organisation salt, model, weight version and adapter. Two
// organisations thus never share a hash, and neither do two weight versions. The
// scheme is the one that the engines publish (see docs/PLATFORM.md), so the hashes in
// their cache events can be compared with these.
//
// # Tokens
//
// The stand-in engine counts four bytes of text as a token (TokenBytes); an
// installation with other engines needs their tokenizer here.
//
//	scope := prompt.Scope{Salt: salt, Model: "casemodel", Version: "v1"}
//	chain := scope.Chain(text, 16)
//	chain.Len() // complete blocks in text
package prompt

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashSize is the length of a Hash in bytes.
const HashSize = 16

// TokenBytes is the number of bytes of text per token in the stand-in engine.
const TokenBytes = 4

// DefaultBlockTokens is the number of tokens per block of an engine that reports none.
const DefaultBlockTokens = 16

// Hash identifies a block and everything before it.
type Hash [HashSize]byte

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads h from hexadecimal; a text of another length than a Hash's is
// an error.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != HashSize {
		return hex.ErrLength
	}

	_, err := hex.Decode(h[:], b)

	return err
}

// Scope is what two prompts must have in common to share any block.
type Scope struct {
	// Salt separates organisations. An empty salt is a separate scope too.
	Salt string
	// Model is the model's name.
	Model string
	// Version is the weight version.
	Version string
	// Adapter is the adapter's name, empty for none.
	Adapter string
}

// Root returns the hash that serves as the parent of the first block.
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

// NextHash returns the hash of the block with the given content that follows the block
// with the hash parent.
func NextHash(parent Hash, content []byte) Hash {
	d := sha256.New()
	d.Write(parent[:])
	d.Write(content)

	var h Hash

	copy(h[:], d.Sum(nil))

	return h
}

// Chain is the list of block hashes of one prompt, in order.
type Chain []Hash

// Len returns the number of blocks.
func (c Chain) Len() int { return len(c) }

// Tokens returns the number of tokens in text; an incomplete last one counts.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Chain returns the hashes of the complete blocks in text, with blockTokens tokens
// per block. An incomplete block at the end has no hash. If blockTokens is zero or
// negative, Chain returns nil.
func (s Scope) Chain(text string, blockTokens int) Chain {
	size := blockTokens * TokenBytes
	if size <= 0 {
		return nil
	}

	chain := make(Chain, 0, len(text)/size)
	parent := s.Root()

	for i := 0; i+size <= len(text); i += size {
		parent = NextHash(parent, []byte(text[i:i+size]))
		chain = append(chain, parent)
	}

	return chain
}

// Shared returns the number of leading blocks that c and other have in common.
func (c Chain) Shared(other Chain) int {
	n := min(len(c), len(other))
	for i := range n {
		if c[i] != other[i] {
			return i
		}
	}

	return n
}
