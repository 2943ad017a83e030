package store

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"boragehub/failure"
)

// CopyID names a copy: a UUIDv7, which is never used twice and tells when the
// copy was made, and the number of blocks, which tells a reader what a transfer
// will cost.
type CopyID struct {
	id     uuid.UUID
	blocks int
}

// NewCopyID returns an id for a copy of so many blocks.
func NewCopyID(blocks int) (CopyID, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return CopyID{}, failure.Wrap(failure.Internal, err, "no id for a copy")
	}

	return CopyID{id: id, blocks: blocks}, nil
}

// ParseCopyID reads an id.
func ParseCopyID(s string) (CopyID, error) {
	id, blocks, ok := strings.Cut(s, ".")
	if !ok {
		return CopyID{}, torn("copy id %q has no number of blocks", s)
	}

	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return CopyID{}, torn("copy id %q is no UUIDv7", s)
	}

	n, err := strconv.Atoi(blocks)
	if err != nil || n < 1 {
		return CopyID{}, torn("copy id %q has no number of blocks", s)
	}

	return CopyID{id: u, blocks: n}, nil
}

// String returns the id as stores know it.
func (c CopyID) String() string { return c.id.String() + "." + strconv.Itoa(c.blocks) }

// Blocks returns the number of blocks in the copy.
func (c CopyID) Blocks() int { return c.blocks }

// Made returns when the copy was made.
func (c CopyID) Made() time.Time {
	sec, nsec := c.id.Time().UnixTime()

	return time.Unix(sec, nsec)
}
