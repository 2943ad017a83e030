// Package store keeps copies of contexts in store VMs, so that they outlive the
// engine's memory.
//
// # Sealed copies
//
// A copy is written once under an id that is never used again, and ends with a
// seal: what the copy is of, its length and a hash over everything. A reader
// takes a copy only when the seal is there, matches and names the context that
// it asked for. So a copy that is cut, altered, half written, freed and
// overwritten, or somebody else's, is a miss and never an answer. The layout is
//
//	magic | header length (4) | header (CBOR) | body | hash (32)
//
// with a SHA-256 hash over all bytes before it.
//
//	b, err := store.Seal(store.Header{Chain: chain, Version: "v1"}, body)
//	err = client.Put(ctx, id, b)
//	body, blocks, err := store.Open(b, want)
//
// A returning prompt need not go on where the copy ends: an answer that is asked
// for again shares only the blocks before it. So the header holds the copy's
// whole chain, and Open tells how many leading blocks are of use.
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

// Header says what a copy is of.
type Header struct {
	// ID is the copy's own id in its store.
	ID string `cbor:"1,keyasint"`
	// Organisation owns the context.
	Organisation string `cbor:"2,keyasint"`
	// Model, Version and Adapter are what computed the blocks.
	Model   string `cbor:"3,keyasint"`
	Version string `cbor:"4,keyasint"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	// Chain are the hashes of the blocks in the body, from the first on.
	Chain prompt.Chain `cbor:"6,keyasint"`
	// Bytes is the body's length.
	Bytes int64 `cbor:"7,keyasint"`
}

// Seal returns the bytes of a copy. It sets h.Bytes.
func Seal(h Header, body []byte) ([]byte, error) {
	h.Bytes = int64(len(body))

	header, err := cbor.Marshal(h)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "a copy's header could not be encoded")
	}

	b := make([]byte, 0, len(magic)+lengthSize+len(header)+len(body)+sha256.Size)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(header)))
	b = append(b, header...)
	b = append(b, body...)
	sum := sha256.Sum256(b)

	return append(b, sum[:]...), nil
}

// Open returns the body of a copy if it is whole and belongs to what want says,
// and how many of its leading blocks are those of want.Chain; at least one is.
// Every other case is failure.TornCopy.
func Open(b []byte, want Header) (body []byte, blocks int, err error) {
	h, body, err := split(b)
	if err != nil {
		return nil, 0, err
	}

	if int64(len(body)) != h.Bytes {
		return nil, 0, torn("the copy has %d bytes of %d", len(body), h.Bytes)
	}

	if !h.belongs(want) {
		return nil, 0, torn("the copy is of another context")
	}

	blocks = h.Chain.Shared(want.Chain)
	if blocks == 0 {
		return nil, 0, torn("the copy shares no block with the prompt")
	}

	return body, blocks, nil
}

// belongs reports whether h names the copy, the owner and the weights of want.
func (h Header) belongs(want Header) bool {
	return h.ID == want.ID &&
		h.Organisation == want.Organisation &&
		h.Model == want.Model &&
		h.Version == want.Version &&
		h.Adapter == want.Adapter
}

func split(b []byte) (Header, []byte, error) {
	var h Header

	fixed := len(magic) + lengthSize
	if len(b) < fixed+sha256.Size || !bytes.Equal(b[:len(magic)], magic) {
		return h, nil, torn("the copy has no beginning or no end")
	}

	end := len(b) - sha256.Size
	if sum := sha256.Sum256(b[:end]); !bytes.Equal(sum[:], b[end:]) {
		return h, nil, torn("the copy's hash does not match")
	}

	n := binary.BigEndian.Uint32(b[len(magic):fixed])
	if int64(fixed)+int64(n) > int64(end) {
		return h, nil, torn("the copy's header is cut")
	}

	if err := cbor.Unmarshal(b[fixed:fixed+int(n)], &h); err != nil {
		return h, nil, failure.Wrap(failure.TornCopy, err, "the copy's header could not be decoded")
	}

	return h, b[fixed+int(n) : end], nil
}

func torn(format string, args ...any) error {
	return failure.New(failure.TornCopy, format, args...)
}
