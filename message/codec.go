package message

import (
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
)

// MaxFrame is the maximum size of a frame's body, in bytes.
const MaxFrame = 8 << 20

const headerSize = 6

// decMode rejects input that no peer sends in normal operation: duplicate keys,
// indefinite lengths and deep nesting would use memory before they are detected.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return m
}()

// Write writes m to w as one frame. The error is failure.TooLarge when the body
// exceeds MaxFrame.
func Write[M Message](w io.Writer, m M) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "failed to encode a message")
	}

	if len(body) > MaxFrame {
		return failure.New(failure.TooLarge, "a message of %d bytes exceeds the maximum of %d bytes", len(body), MaxFrame)
	}

	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = Version
	frame[5] = byte(m.Type())

	_, err = w.Write(append(frame, body...))

	return err
}

// Read reads one frame and decodes its message. The error is io.EOF when r ends
// before the first byte and io.ErrUnexpectedEOF when it ends within the header;
// the package comment lists the errors of invalid frames.
func Read(r io.Reader) (Message, error) {
	var header [headerSize]byte

	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}

	if header[4] != Version {
		return nil, failure.New(failure.ProtocolMismatch, "the peer uses protocol version %d, this process version %d", header[4], Version)
	}

	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrame {
		return nil, failure.New(failure.BadMessage, "a frame of %d bytes exceeds the maximum of %d bytes", n, MaxFrame)
	}

	body, err := readBody(r, int(n))
	if err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "a frame is incomplete")
	}

	return decode(Type(header[5]), body)
}

// firstPart is how much memory is taken for a frame before any of its body has been read.
const firstPart = 64 << 10

// readBody reads a body of n bytes. It takes memory as they arrive, whatever the frame announces.
func readBody(r io.Reader, n int) ([]byte, error) {
	var body []byte

	for len(body) < n {
		body = slices.Grow(body, min(max(len(body), firstPart), n-len(body)))
		part := body[len(body):min(cap(body), n)]

		m, err := io.ReadFull(r, part)
		body = body[:len(body)+m]

		if err != nil {
			return nil, err
		}
	}

	return body, nil
}

// decoders holds the decoder of each Type, by its number.
var decoders = [...]func([]byte) (Message, error){
	TypeHeartbeat:       decodeAs[Heartbeat],
	TypeRun:             decodeAs[Run],
	TypeToken:           decodeAs[Token],
	TypeDone:            decodeAs[Done],
	TypeRefused:         decodeAs[Refused],
	TypeCall:            decodeAs[Call],
	TypeReply:           decodeAs[Reply],
	TypeLocate:          decodeAs[Locate],
	TypeLocated:         decodeAs[Located],
	TypeHoldingUpdate:   decodeAs[HoldingUpdate],
	TypeAck:             decodeAs[Ack],
	TypeStateRequest:    decodeAs[StateRequest],
	TypeState:           decodeAs[State],
	TypeSettingsRequest: decodeAs[SettingsRequest],
	TypeSettings:        decodeAs[Settings],
	TypeCrashReport:     decodeAs[CrashReport],
	TypeOrder:           decodeAs[Order],
	TypeDocumentRequest: decodeAs[DocumentRequest],
	TypeDocument:        decodeAs[Document],
	TypeImported:        decodeAs[Imported],
}

func decode(t Type, body []byte) (Message, error) {
	if int(t) >= len(decoders) || decoders[t] == nil {
		return nil, failure.New(failure.BadMessage, "unknown message type %d", t)
	}

	return decoders[t](body)
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "failed to decode a message")
	}

	return m, nil
}

// Expect returns m as an M. If m is a Refused, it returns the error from the
// peer; for any other message it returns failure.BadMessage.
func Expect[M Message](m Message) (M, error) {
	if typed, ok := m.(M); ok {
		return typed, nil
	}

	var zero M

	if r, ok := m.(Refused); ok {
		return zero, r.Err()
	}

	return zero, failure.New(failure.BadMessage, "got message type %d, expected type %d", m.Type(), zero.Type())
}

// Err returns the error that r reports, with its retry delay.
func (r Refused) Err() error {
	after := time.Duration(r.RetryAfterMS) * time.Millisecond

	return failure.New(r.Kind, "%s", r.Text).WithRetryAfter(after)
}
