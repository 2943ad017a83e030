package message

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/quarantine"
)

func allMessages() []Message {
	return []Message{
		Heartbeat{}, Run{RequestID: "r", Prompt: "p", Copies: []Holding{{Holder: "s", Blocks: 3}}}, Token{Index: 7, Text: "t"},
		Done{Tokens: 8, FinishReason: "stop"}, Refused{Kind: failure.Draining, Text: "leaving"}, Call{Method: "POST", Body: []byte("b")},
		Reply{Status: 200}, Locate{}, Located{Holdings: []Holding{{Store: true}}}, HoldingUpdate{Removed: true}, Ack{}, StateRequest{SettingsVersion: 3},
		State{VM: "v", OwnedShards: []int{1}}, SettingsRequest{After: 1}, Settings{Version: 2, Body: []byte("x")}, CrashReport{Crash: quarantine.Crash{Target: "e", Running: []quarantine.Fingerprint{{1}}}}, Order{Fence: 3, Kind: "load_weights"},
		DocumentRequest{Name: "fleet"}, Document{JSON: []byte("{}")}, Imported{Bytes: 9},
	}
}

func encodeFrame(t testing.TB, m Message) []byte {
	t.Helper()

	var b bytes.Buffer
	if err := Write(&b, m); err != nil {
		t.Fatal(err)
	}

	return b.Bytes()
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, want := range allMessages() {
		got, err := Read(bytes.NewReader(encodeFrame(t, want)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("type %d: got %+v %v, want %+v", want.Type(), got, err, want)
		}
	}

	if got, want := len(allMessages()), len(decoders)-1; got != want {
		t.Errorf("messages tested: got %d, want %d", got, want)
	}
}

// A release with another protocol version connects. If its frames were decoded
// all the same, a field could have another meaning and a caller get a wrong
// response.
func TestOtherProtocolVersionIsRejected(t *testing.T) {
	b := encodeFrame(t, Ack{})
	b[4] = Version + 1

	_, err := Read(bytes.NewReader(b))
	if got, want := failure.KindOf(err), failure.ProtocolMismatch; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A peer crashes in the middle of a frame, or a frame is corrupted. Truncation
// must give an error: a part of a message must never be taken for a complete one.
// A corrupted byte must give no other error than these two kinds.
func TestTruncatedAndAlteredFramesGiveErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := allMessages()
		b := bytes.NewBuffer(nil)
		m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")]

		if err := Write(b, m); err != nil {
			t.Fatal(err)
		}

		encoded := b.Bytes()
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")

		if got, err := Read(bytes.NewReader(encoded[:cut])); err == nil {
			t.Fatalf("truncated to %d of %d bytes: got %+v, want an error", cut, len(encoded), got)
		}

		at := rapid.IntRange(0, len(encoded)-1).Draw(t, "at")
		encoded[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))

		if _, err := Read(bytes.NewReader(encoded)); err != nil {
			kind := failure.KindOf(err)
			if kind != failure.BadMessage && kind != failure.ProtocolMismatch {
				t.Fatalf("altered at byte %d: got error kind %v", at, kind)
			}
		}
	})
}

func TestExpect(t *testing.T) {
	_, err := Expect[Done](Refused{Kind: failure.QueueFull, Text: "full", RetryAfterMS: 1500})
	if got, want := failure.As(err).RetryAfter(), 1500*time.Millisecond; got != want {
		t.Errorf("retry after: got %v, want %v", got, want)
	}

	_, err = Expect[Done](Ack{})
	if got, want := failure.KindOf(err), failure.BadMessage; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func BenchmarkToken(b *testing.B) {
	var buf bytes.Buffer

	b.ReportAllocs()

	for b.Loop() {
		buf.Reset()

		if err := Write(&buf, Token{Index: 3, Text: "seat"}); err != nil {
			b.Fatal(err)
		}

		if _, err := Read(&buf); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a peer that announces large frames on many streams and sends nothing: memory must be taken as
// bytes arrive.
func TestAnnouncedFramesTakeNoMemory(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, MaxFrame)
	header = append(header, Version, byte(TypeDocument))

	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)

	for range 10 {
		if _, err := Read(bytes.NewReader(header)); failure.KindOf(err) != failure.BadMessage {
			t.Errorf("got %v, want %v", err, failure.BadMessage)
		}
	}

	runtime.ReadMemStats(&after)

	if got, most := after.TotalAlloc-before.TotalAlloc, uint64(2<<20); got > most {
		t.Errorf("got %d bytes allocated for ten announced frames, want at most %d", got, most)
	}
}

// Guards against a frame that is cut or changed while its buffer grows.
func TestLargeFramesAreReadWhole(t *testing.T) {
	for _, n := range []int{0, 1, firstPart - 1, firstPart, firstPart + 1, 1 << 20} {
		want := Document{JSON: bytes.Repeat([]byte{'j'}, n)}

		var b bytes.Buffer
		if err := Write(&b, want); err != nil {
			t.Fatal(err)
		}

		got, err := Read(iotest.HalfReader(&b))
		if d, ok := got.(Document); err != nil || !ok || !bytes.Equal(d.JSON, want.JSON) {
			t.Errorf("%d bytes: got another frame, %v", n, err)
		}
	}
}
