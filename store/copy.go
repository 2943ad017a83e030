package store

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"boragehub/failure"
)

// CopyID identifies a copy: a UUIDv7, which is never reused and contains the
// creation time, and the number of blocks, from which a reader estimates the
// cost of a transfer.
type CopyID struct {
	id     uuid.UUID
	blocks int
}

// NewCopyID returns a new id for a copy of the given number of blocks. The error is
// failure.Internal.
func NewCopyID(blocks int) (CopyID, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return CopyID{}, failure.Wrap(failure.Internal, err, "could not generate a copy id")
	}

	return CopyID{id: id, blocks: blocks}, nil
}

// ParseCopyID parses an id as String writes it. The error is failure.TornCopy.
func ParseCopyID(s string) (CopyID, error) {
	id, blocks, ok := strings.Cut(s, ".")
	if !ok {
		return CopyID{}, tornCopy("copy id %q has no valid number of blocks", s)
	}

	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return CopyID{}, tornCopy("copy id %q does not begin with a UUIDv7", s)
	}

	n, err := strconv.Atoi(blocks)
	if err != nil || n < 1 {
		return CopyID{}, tornCopy("copy id %q has no valid number of blocks", s)
	}

	return CopyID{id: u, blocks: n}, nil
}

// String returns the id of the copy's object in a store: the UUID, a dot and the number of blocks.
func (c CopyID) String() string { return c.id.String() + "." + strconv.Itoa(c.blocks) }

// Blocks returns the number of blocks in the copy.
func (c CopyID) Blocks() int { return c.blocks }

// Created returns the creation time of the copy, to the millisecond.
func (c CopyID) Created() time.Time {
	sec, nsec := c.id.Time().UnixTime()

	return time.Unix(sec, nsec)
}
