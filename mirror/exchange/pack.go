package exchange

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
)

// packAbove is the length in bytes from which records are packed. Heartbeats and small
// changes aren't worth the time; a configuration with thousands of routes, 320 KB, takes
// a tenth of its room packed. A quarter of a second on the smallest link becomes 30 ms,
// and a reader that serves two dozen others has two more links' worth to spare.
const packAbove = 8 << 10

// packer packs records and keeps the last result of each topic: all who wait for a
// change ask for it in the same moment. The zero value is ready.
type packer struct {
	mu   sync.Mutex
	last map[string]packed
}

type packed struct {
	from, end int64
	body      []byte
}

// pack returns records as they are, or packed when they are long.
func (p *packer) pack(topic string, from int64, b mirror.Batch) (records []mirror.Record, body []byte) {
	size := 0
	for _, r := range b.Records {
		size += len(r.Value)
	}

	if size < packAbove {
		return b.Records, nil
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if x, ok := p.last[topic]; ok && x.from == from && x.end == b.End {
		return nil, x.body
	}

	body, err := deflate(b.Records)
	if err != nil {
		return b.Records, nil // sent as they are, which takes longer
	}

	if p.last == nil {
		p.last = make(map[string]packed)
	}

	p.last[topic] = packed{from, b.End, body}

	return nil, body
}

func deflate(records []mirror.Record) ([]byte, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return nil, err
	}

	return compress(body)
}

// compressAbove is the length in bytes from which request bodies, and responses about stores and
// members, are compressed. They compress well, since messages about stores repeat the same few
// values for each store, and the addresses of members are similar.
const compressAbove = 1 << 10

// encodingDeflate is the Content-Encoding of compressed messages, which are raw DEFLATE data
// without a zlib header.
const encodingDeflate = "deflate"

// flateWriters holds compressors for reuse, since their state is far larger than a message.
var flateWriters sync.Pool

// compress returns body in DEFLATE format.
func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer

	w, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}

	defer flateWriters.Put(w)

	w.Reset(&out)

	if _, err := w.Write(body); err != nil {
		return nil, err
	}

	if err := w.Close(); err != nil {
		return nil, err
	}

	return out.Bytes(), nil
}

// decompress returns the decompressed body, truncated to maxMessage bytes.
func decompress(body []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxMessage))
}

// unpack returns the records of a reply.
func (r Reply) unpack() ([]mirror.Record, error) {
	if len(r.Packed) == 0 {
		return r.Records, nil
	}

	body, err := decompress(r.Packed)
	if err != nil {
		return nil, err
	}

	var records []mirror.Record

	err = decoder.Unmarshal(body, &records)

	return records, err
}
