package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies that are cut off or changed while their buffer grows, and against memory that is taken for
// bytes which were only announced.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 100 << 10

	text := strings.Repeat("0123456789abcdef", limit/16)

	tests := []struct {
		name   string
		src    io.Reader
		length int64
		want   int // bytes
		err    error
	}{
		{"of a length", strings.NewReader(text), limit, limit, nil},
		{"of a length, more follows", strings.NewReader(text), 10, 10, nil},
		{"of a length, byte by byte", iotest.OneByteReader(strings.NewReader(text)), limit, limit, nil},
		{"shorter than its length", strings.NewReader(text[:50]), 51, 0, io.ErrUnexpectedEOF},
		{"of the largest size", strings.NewReader(text), -1, limit, nil},
		{"of the largest size, byte by byte", iotest.OneByteReader(strings.NewReader(text)), -1, limit, nil},
		{"empty", strings.NewReader(""), -1, 0, nil},
		{"one byte too large", strings.NewReader(text + "x"), -1, 0, ErrTooLarge},
		{"without end", endless{}, -1, 0, ErrTooLarge},
		{"with its end at its last byte", iotest.DataErrReader(strings.NewReader(text)), -1, limit, nil},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := readAll(context.Background(), tt.src, size{length: tt.length, limit: limit}, nil)
			if !errors.Is(err, tt.err) || string(got) != text[:tt.want] {
				t.Errorf("got %d bytes, %v, want %d, %v", len(got), err, tt.want, tt.err)
			}
		})
	}
}

// Guards against a body that takes memory beyond what was accounted for, and one that can't grow to its limit alone.
func TestMemoryIsTakenAsABodyArrives(t *testing.T) {
	const limit = 4 * mebibyte

	l := newTestLedger(limit + limit/2 + mebibyte)
	c := open(t, t0, l.Port(PortConfig{Name: "callers"}))
	c.Head()
	c.beginBody(func() {})

	half, full := bytes.NewReader(make([]byte, limit/2)), bytes.NewReader(make([]byte, limit))

	if _, err := readAll(context.Background(), half, size{length: limit, limit: limit}, c.Account); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}

	if got := l.Usage().Bytes; got > limit+ConnectionBytes {
		t.Errorf("half of the body: got %d bytes accounted for, want at most %d", got, limit+ConnectionBytes)
	}

	c.DropBody()

	b, err := readAll(context.Background(), full, size{length: -1, limit: limit}, c.Account)
	if err != nil || len(b) != limit || cap(b) > limit+1 {
		t.Errorf("got %d bytes in %d, %v, want the whole body", len(b), cap(b), err)
	}

	if got, want := l.Usage().Bytes, int64(limit+1+ConnectionBytes-allowance); got != want {
		t.Errorf("got %d bytes accounted for, want %d", got, want)
	}
}
