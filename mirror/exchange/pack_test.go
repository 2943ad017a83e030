package exchange

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"boragehub/mirror"
)

// routes is a configuration of so many routes, as operators write it.
func routes(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"pule%d.example","pathPrefix":"/cufi%d/","kind":"idempotent","timeoutMs":800,"service":"s%d"},`, i*7919, i%40, i, i%3)
	}

	return b.Bytes()
}

// Each change of a configuration with thousands of routes goes to two dozen entries
// within a moment. Whole, it fills the links of those that pass it on and the smallest
// ones, and is in force too late there.
func TestLongRecordsTakeLittleOfALink(t *testing.T) {
	value := routes(2200)

	var p packer

	b := mirror.Batch{Records: []mirror.Record{{Key: "config", Value: value, Offset: 9}}, End: 10}

	records, body := p.pack("t", 9, b)
	if len(records) != 0 || len(body) == 0 || len(body) > len(value)/6 {
		t.Fatalf("got %d records and %d bytes for %d, want a sixth at most", len(records), len(body), len(value))
	}

	if _, again := p.pack("t", 9, b); &again[0] != &body[0] {
		t.Error("for the next one who asks: got it packed anew")
	}

	got, err := Reply{Packed: body}.unpack()
	if err != nil || len(got) != 1 || got[0].Key != "config" || got[0].Offset != 9 || !bytes.Equal(got[0].Value, value) {
		t.Errorf("got %d records, %v, want what was packed", len(got), err)
	}
}

func TestShortRecordsGoAsTheyAre(t *testing.T) {
	var p packer

	records, body := p.pack("t", 0, mirror.Batch{Records: []mirror.Record{{Key: "a", Value: []byte("b")}}})
	if len(records) != 1 || body != nil {
		t.Errorf("got %v and %d bytes, want the record", records, len(body))
	}
}

func TestBrokenPackIsRefused(t *testing.T) {
	for _, body := range [][]byte{{1, 2, 3}, bytes.Repeat([]byte{0xff}, 100)} {
		if got, err := (Reply{Packed: body}).unpack(); err == nil {
			t.Errorf("got %v, want an error", got)
		}
	}
}

func TestLongRecordsArePassedOn(t *testing.T) {
	e := newEntry(t)
	value := routes(2200)
	e.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: value, Offset: 0}}, End: 1, Whole: true, AsOf: time.Now()})

	b, err := NewClient(NewMembers("", nil)).Follow(context.Background(), e.address, "t", 0, time.Second)
	if err != nil || len(b.Records) != 1 || !bytes.Equal(b.Records[0].Value, value) {
		t.Errorf("got %d records, %v, want the configuration", len(b.Records), err)
	}
}
