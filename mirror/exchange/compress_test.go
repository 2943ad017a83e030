package exchange

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
	"boragehub/vault"
)

// routes returns a configuration with n routes, in the format that operators use.
func routes(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"pule%d.example","pathPrefix":"/cufi%d/","kind":"idempotent","timeoutMs":800,"service":"s%d"},`, i*7919, i%40, i, i%3)
	}

	return b.Bytes()
}

// Guards against configurations that are applied too late. Each change of a configuration with
// thousands of routes is sent to two dozen entries at the same time. Uncompressed, it saturates the
// links of the readers and the slowest links.
func TestLongRecordsAreCompressed(t *testing.T) {
	value := routes(2200)

	var c recordCompressor

	b := mirror.Batch{Records: []mirror.Record{{Key: "config", Value: value, Offset: 9}}, End: 10}

	records, body := c.encode("t", mirror.Position{Offset: 9}, b)
	if len(records) != 0 || len(body) == 0 || len(body) > len(value)/6 {
		t.Fatalf("got %d records and %d bytes for %d, want at most a sixth", len(records), len(body), len(value))
	}

	if _, again := c.encode("t", mirror.Position{Offset: 9}, b); &again[0] != &body[0] {
		t.Error("second call: got the records compressed again")
	}

	got, err := Reply{Compressed: body}.decodeRecords()
	if err != nil || len(got) != 1 || got[0].Key != "config" || got[0].Offset != 9 || !bytes.Equal(got[0].Value, value) {
		t.Errorf("got %d records, %v, want the original record", len(got), err)
	}
}

func TestShortRecordsAreNotCompressed(t *testing.T) {
	var c recordCompressor

	records, body := c.encode("t", mirror.Position{}, mirror.Batch{Records: []mirror.Record{{Key: "a", Value: []byte("b")}}})
	if len(records) != 1 || body != nil {
		t.Errorf("got %v and %d bytes, want the record", records, len(body))
	}
}

func TestCorruptCompressedRecordsAreRefused(t *testing.T) {
	for _, body := range [][]byte{{1, 2, 3}, bytes.Repeat([]byte{0xff}, 100)} {
		if got, err := (Reply{Compressed: body}).decodeRecords(); err == nil {
			t.Errorf("got %v, want an error", got)
		}
	}
}

func TestCompressedRecordsAreDelivered(t *testing.T) {
	e := newEntry(t)
	value := routes(2200)
	e.topic.Merge(mirror.Batch{Records: []mirror.Record{{Key: "config", Value: value, Offset: 0}}, End: 1, Snapshot: true, AsOf: time.Now()})

	b, err := NewClient(NewMembers("", nil)).Poll(context.Background(), e.address, "t", mirror.Position{}, time.Second)
	if err != nil || len(b.Records) != 1 || !bytes.Equal(b.Records[0].Value, value) {
		t.Errorf("got %d records, %v, want the configuration", len(b.Records), err)
	}
}

// Guards against polling for store updates using most of a slow link in a fleet with many stores.
func TestStoreMessagesAreCompressed(t *testing.T) {
	const storeCount = 61

	e, follower := newEntry(t), vault.NewDirectory(2)

	var (
		stores    []vault.Store
		positions []vault.Position
	)

	for i := range storeCount {
		stores = append(stores, vault.Store{Address: fmt.Sprintf("172.20.0.%d:8443", i)})
	}

	e.vaults.Configure(stores)
	follower.Configure(stores)

	for i, s := range stores {
		e.vaults.ApplyListing(time.Now(), s.Address, vault.Listing{Epoch: 162382030219276 + int64(i), Clock: 1776805800959 + int64(i)})

		for _, u := range e.vaults.Updates(time.Now(), []vault.Position{follower.PeerPosition(s.Address)}) {
			follower.ApplyUpdate(time.Now(), u)
		}

		positions = append(positions, follower.PeerPosition(s.Address))
	}

	want := e.vaults.Updates(time.Now(), positions)

	for name, message := range map[string]any{"request": positions, "response": want} {
		body, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}

		compressed, err := compress(body)
		if err != nil || len(compressed) > len(body)/3 {
			t.Errorf("%s: got %d of %d bytes after compression, %v, want at most a third", name, len(compressed), len(body), err)
		}

		if decompressed, err := decompress(compressed); err != nil || !bytes.Equal(decompressed, body) {
			t.Errorf("%s: got %d bytes after decompression, %v, want the original %d", name, len(decompressed), err, len(body))
		}
	}

	got, err := NewClient(NewMembers("", nil)).StoreUpdates(context.Background(), e.address, positions)
	if err != nil || len(got) != storeCount || got[storeCount-1].Epoch != want[storeCount-1].Epoch || !got[storeCount-1].Reachable {
		t.Errorf("got %d updates, %v, want %d", len(got), err, storeCount)
	}
}
