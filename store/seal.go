// Package store keeps copies of contexts (parts of prompts' KV caches) in store
// VMs, so that they remain available after an engine has evicted them.
//
// # Sealed copies
//
// A copy is written once under an id that is never reused. It is sealed: a
// header says which context it belongs to and how long it is, and a hash covers
// everything. A seal detects damage and mix-ups; it doesn't encrypt or
// authenticate. A reader uses a copy only if the hash matches and the header
// names the context it asked for. So a copy that is truncated, altered, half
// written, overwritten after its deletion, or of another organisation is a cache
// miss and never leads to a wrong response. The layout is
//
//	magic | header length (4) | header (CBOR) | body | hash (32)
//
// with lengths in bytes, integers in big-endian order and a SHA-256 hash of all
// bytes before it.
//
//	b, err := store.Seal(store.Header{Chain: chain, Version: "v1"}, body)
//	err = client.Put(ctx, id, b)
//	body, blocks, err := store.Open(b, want)
//
// A later prompt doesn't always extend the copied one: if a caller asks for
// another response to the same turn, the prompt shares only the blocks before
// it. So the header holds the copy's whole chain of block hashes, and Open
// returns how many leading blocks the prompt shares.
package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/prompt"
)

var magic = []byte("boragehub copy 1\n")

const lengthSize = 4

// Header identifies the context of a copy.
type Header struct {
	// ID is the copy's own id in its store.
	ID string `cbor:"1,keyasint"`
	// Organisation is the owner of the context.
	Organisation string `cbor:"2,keyasint"`
	// Model, Version and Adapter are the model, weight version and adapter (empty for
	// none) that computed the blocks.
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	// Chain holds the hashes of all blocks in the body, in order.
	Chain prompt.Chain `cbor:"6,keyasint"`
	// Bytes is the body's length in bytes; Seal sets it.
	Bytes int64 `cbor:"7,keyasint"`
}

// Seal returns the sealed copy of body. It overwrites h.Bytes with the length of body. The error is
// failure.Internal.
func Seal(h Header, body []byte) ([]byte, error) {
	h.Bytes = int64(len(body))

	header, err := cbor.Marshal(h)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "could not encode the copy's header")
	}

	b := make([]byte, 0, len(magic)+lengthSize+len(header)+len(body)+sha256.Size)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(header)))
	b = append(b, header...)
	b = append(b, body...)
	sum := sha256.Sum256(b)

	return append(b, sum[:]...), nil
}

// Open returns the body of a copy if it is complete, undamaged and matches want,
// and the number of its leading blocks that it shares with want.Chain, which is
// at least one. It ignores want.Bytes. In every other case the error is
// failure.TornCopy.
func Open(b []byte, want Header) (body []byte, blocks int, err error) {
	h, body, err := parse(b)
	if err != nil {
		return nil, 0, err
	}

	if int64(len(body)) != h.Bytes {
		return nil, 0, tornCopy("the copy's body has %d bytes, its header says %d", len(body), h.Bytes)
	}

	if !h.matches(want) {
		return nil, 0, tornCopy("the copy belongs to another context")
	}

	blocks = h.Chain.Shared(want.Chain)
	if blocks == 0 {
		return nil, 0, tornCopy("the copy shares no block with the prompt")
	}

	return body, blocks, nil
}

// matches reports whether h and want have the same copy id, organisation and weights (model, version
// and adapter).
func (h Header) matches(want Header) bool {
	return h.ID == want.ID &&
		h.Organisation == want.Organisation &&
		h.Model == want.Model &&
		h.Version == want.Version &&
		h.Adapter == want.Adapter
}

func parse(b []byte) (Header, []byte, error) {
	var h Header

	headerStart := len(magic) + lengthSize
	if len(b) < headerStart+sha256.Size || !bytes.Equal(b[:len(magic)], magic) {
		return h, nil, tornCopy("the copy is too short or does not begin with the magic bytes")
	}

	hashStart := len(b) - sha256.Size
	if sum := sha256.Sum256(b[:hashStart]); !bytes.Equal(sum[:], b[hashStart:]) {
		return h, nil, tornCopy("the copy's hash does not match")
	}

	n := binary.BigEndian.Uint32(b[len(magic):headerStart])
	if int64(headerStart)+int64(n) > int64(hashStart) {
		return h, nil, tornCopy("the copy's header is longer than the copy")
	}

	if err := cbor.Unmarshal(b[headerStart:headerStart+int(n)], &h); err != nil {
		return h, nil, failure.Wrap(failure.TornCopy, err, "could not decode the copy's header")
	}

	return h, b[headerStart+int(n) : hashStart], nil
}

func tornCopy(format string, args ...any) error {
	return failure.New(failure.TornCopy, format, args...)
}
