package message

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/quarantine"
)

func all() []Message {
	return []Message{
		Beat{}, Run{RequestID: "r", Prompt: "p", Copies: []Holding{{Holder: "s", Blocks: 3}}}, Token{Index: 7, Text: "t"},
		Done{Tokens: 8, Finish: "stop"}, Refused{Kind: failure.Draining, Text: "leaving"}, Call{Method: "POST", Body: []byte("b")},
		Reply{Status: 200}, Locate{}, Located{Holdings: []Holding{{Store: true}}}, Learn{Gone: true}, Ack{}, Ask{SettingsVersion: 3},
		State{VM: "v", Homes: []int{1}}, Fetch{After: 1}, Settings{Version: 2, Body: []byte("x")}, Crashed{Crash: quarantine.Crash{Target: "e", Running: []quarantine.Fingerprint{{1}}}}, Order{Fence: 3, Kind: "load_weights"},
		View{Name: "fleet"}, Viewed{JSON: []byte("{}")}, Imported{Bytes: 9},
	}
}

func frame(t testing.TB, m Message) []byte {
	t.Helper()

	var b bytes.Buffer
	if err := Write(&b, m); err != nil {
		t.Fatal(err)
	}

	return b.Bytes()
}

func TestEveryMessageReturnsAsItWas(t *testing.T) {
	for _, want := range all() {
		got, err := Read(bytes.NewReader(frame(t, want)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("type %d: got %+v %v, want %+v", want.Type(), got, err, want)
		}
	}

	if got, want := len(all()), len(decoders)-1; got != want {
		t.Errorf("messages tried: got %d, want %d", got, want)
	}
}

// A release with another protocol version dials in. If its frames were decoded
// all the same, a field could change its meaning and a caller get a wrong answer.
func TestAnotherVersionIsRefused(t *testing.T) {
	b := frame(t, Ack{})
	b[4] = Version + 1

	_, err := Read(bytes.NewReader(b))
	if got, want := failure.KindOf(err), failure.ProtocolMismatch; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A peer dies in the middle of a frame or sends noise. Nothing but an error may
// come of it: a part of a message must never pass for a whole one.
func TestCutAndAlteredFramesGiveErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := all()
		b := bytes.NewBuffer(nil)
		m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")]

		if err := Write(b, m); err != nil {
			t.Fatal(err)
		}

		whole := b.Bytes()
		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")

		if got, err := Read(bytes.NewReader(whole[:cut])); err == nil {
			t.Fatalf("cut at %d of %d: got %+v, want an error", cut, len(whole), got)
		}

		at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
		whole[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))

		if _, err := Read(bytes.NewReader(whole)); err != nil {
			kind := failure.KindOf(err)
			if kind != failure.BadMessage && kind != failure.ProtocolMismatch {
				t.Fatalf("altered at %d: got kind %v", at, kind)
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
