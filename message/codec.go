package message

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
)

// MaxFrame is the largest frame that any process reads, in bytes.
const MaxFrame = 8 << 20

const headerSize = 6

// mode refuses what a peer has no business sending: duplicate keys, endless
// lengths and deep nesting would cost memory before they are noticed.
var mode = func() cbor.DecMode {
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

// Write writes m as one frame.
func Write[M Message](w io.Writer, m M) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "a message could not be encoded")
	}

	if len(body) > MaxFrame {
		return failure.New(failure.TooLarge, "a message of %d bytes is over %d", len(body), MaxFrame)
	}

	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = Version
	frame[5] = byte(m.Type())

	_, err = w.Write(append(frame, body...))

	return err
}

// Read reads one frame. An end before the first byte is io.EOF.
func Read(r io.Reader) (Message, error) {
	var header [headerSize]byte

	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}

	if header[4] != Version {
		return nil, failure.New(failure.ProtocolMismatch, "the peer speaks message version %d, this process %d", header[4], Version)
	}

	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrame {
		return nil, failure.New(failure.BadMessage, "a frame of %d bytes is over %d", n, MaxFrame)
	}

	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "a frame was cut")
	}

	return decode(Type(header[5]), body)
}

// decoders is indexed by Type.
var decoders = [...]func([]byte) (Message, error){
	TypeBeat:     into[Beat],
	TypeRun:      into[Run],
	TypeToken:    into[Token],
	TypeDone:     into[Done],
	TypeRefused:  into[Refused],
	TypeCall:     into[Call],
	TypeReply:    into[Reply],
	TypeLocate:   into[Locate],
	TypeLocated:  into[Located],
	TypeLearn:    into[Learn],
	TypeAck:      into[Ack],
	TypeAsk:      into[Ask],
	TypeState:    into[State],
	TypeFetch:    into[Fetch],
	TypeSettings: into[Settings],
	TypeCrashed:  into[Crashed],
	TypeOrder:    into[Order],
	TypeView:     into[View],
	TypeViewed:   into[Viewed],
	TypeImported: into[Imported],
}

func decode(t Type, body []byte) (Message, error) {
	if int(t) >= len(decoders) || decoders[t] == nil {
		return nil, failure.New(failure.BadMessage, "message type %d is not known", t)
	}

	return decoders[t](body)
}

func into[M Message](body []byte) (Message, error) {
	var m M
	if err := mode.Unmarshal(body, &m); err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "a message could not be decoded")
	}

	return m, nil
}

// Expect returns m as an M. A Refused becomes its error, any other message
// failure.BadMessage.
func Expect[M Message](m Message) (M, error) {
	if want, ok := m.(M); ok {
		return want, nil
	}

	var none M

	if r, ok := m.(Refused); ok {
		return none, r.Err()
	}

	return none, failure.New(failure.BadMessage, "message type %d came where %d was due", m.Type(), none.Type())
}

// Err returns the error that r tells of.
func (r Refused) Err() error {
	after := time.Duration(r.RetryAfterMS) * time.Millisecond

	return failure.New(r.Kind, "%s", r.Text).After(after)
}
