package setting

import (
	"bytes"
	"reflect"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/zeebo/xxh3"
)

// tablesPerChunk is the average number of tables in a chunk.
const tablesPerChunk = 64

// boundaryBytes is how many bytes of a table are hashed to decide whether a
// chunk starts at it.
const boundaryBytes = 64

// decodedChunk is a chunk of a file, decoded and validated.
type decodedChunk struct {
	text []byte
	doc  *document
}

// chunkCache holds the decoded chunks of a file by the hash of their text.
type chunkCache map[xxh3.Uint128]decodedChunk

// find returns the decoded form of text, or nil if it is not cached. It
// compares the text as well, so a hash collision is a miss.
func (c chunkCache) find(hash xxh3.Uint128, text []byte) *document {
	if chunk, ok := c[hash]; ok && bytes.Equal(chunk.text, text) {
		return chunk.doc
	}

	return nil
}

// decodeTree reads text into doc like decode, but in linear instead of quadratic
// time, most of which goes to the chunks that are not in cached. It returns the
// chunks to pass in for the next version of the file, or nil if the file was
// decoded in one run.
//
// The TOML library compares each table with all its siblings. For a tree of
// 10,000 organisations this takes longer than all other work together, at each
// of thousands of changes a day. The file is therefore decoded in chunks, and
// unchanged chunks are reused. A file whose chunks could depend on each other,
// or that has a problem, is decoded in one run, so that neither the result nor
// the reported problems depend on where the chunks start.
func decodeTree(file string, text []byte, doc *document, cached chunkCache) (chunkCache, Problems) {
	chunks := splitChunks(text)
	if len(chunks) < 2 {
		return nil, decode(file, text, doc)
	}

	var merged document

	decoded := make(chunkCache, len(chunks))

	for _, chunk := range chunks {
		hash := xxh3.Hash128(chunk)

		partial := cached.find(hash, chunk)
		if partial == nil {
			partial = &document{}
			if decodeStrict(chunk, partial) != nil || structValidator.Struct(partial) != nil {
				return nil, decode(file, text, doc)
			}
		}

		decoded[hash] = decodedChunk{chunk, partial}

		merged.merge(partial)
	}

	*doc = merged

	return decoded, nil
}

// splitChunks splits text into chunks before some of its table headers. It returns
// nil if text is not valid TOML, or has a dotted key, an inline table or a table
// that is opened twice: the chunks could then depend on each other.
func splitChunks(text []byte) [][]byte {
	var (
		p      unstable.Parser
		chunks [][]byte
		start  int
	)

	headers := map[string]bool{}

	p.Reset(text)

	for p.NextExpression() {
		node := p.Expression()

		switch node.Kind {
		case unstable.KeyValue:
			if !isPlainKey(node) {
				return nil
			}
		case unstable.Table, unstable.ArrayTable:
			key, at := keyOf(node)
			if node.Kind == unstable.Table && headers[key] {
				return nil
			}

			headers[key] = true

			if cut := bytes.LastIndexByte(text[:at], '\n') + 1; cut > start && isBoundary(text[cut:]) {
				chunks = append(chunks, text[start:cut])
				start = cut
			}
		default:
		}
	}

	if p.Error() != nil {
		return nil
	}

	return append(chunks, text[start:])
}

// isBoundary reports whether a chunk starts at a table. This depends only on the
// table's own text, so that a table added elsewhere doesn't move the boundaries
// that follow it.
func isBoundary(table []byte) bool {
	return xxh3.Hash(table[:min(boundaryBytes, len(table))])%tablesPerChunk == 0
}

// isPlainKey reports whether an expression sets an undotted key to a value other
// than an inline table.
func isPlainKey(node *unstable.Node) bool {
	it := node.Key()

	return it.Next() && it.IsLast() && node.Value().Kind != unstable.InlineTable
}

// decodeStrict decodes text into v; an unknown key is an error.
func decodeStrict(text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()

	return d.Decode(v)
}

// merge adds the contents of a later chunk of the same file. It doesn't modify
// later, which may be shared with an older tree that is still in use.
func (d *document) merge(later *document) {
	d.overrides.merge(&later.overrides)

	d.Sites = mergeLevels(d.Sites, later.Sites, mergeSite)
	d.DataCentres = append(d.DataCentres, later.DataCentres...)
	d.Links = append(d.Links, later.Links...)
	d.Services = append(d.Services, later.Services...)
	d.WeightRollouts = append(d.WeightRollouts, later.WeightRollouts...)
	d.Drains = append(d.Drains, later.Drains...)
	d.Evacuations = append(d.Evacuations, later.Evacuations...)
	d.Organisations = append(d.Organisations, later.Organisations...)
}

func mergeSite(a, b *siteLevel) {
	a.merge(&b.overrides)
	a.Services = mergeLevels(a.Services, b.Services, mergeService)
}

func mergeService(a, b *serviceLevel) {
	a.merge(&b.overrides)
	a.Organisations = mergeLevels(a.Organisations, b.Organisations, mergeOrganisation)
}

func mergeOrganisation(a, b *organisationLevel) {
	a.merge(&b.overrides)
	a.Workloads = mergeLevels(a.Workloads, b.Workloads, func(a, b *workloadLevel) { a.merge(&b.overrides) })
}

// mergeLevels merges later into a and returns the result; it modifies a but not
// later.
func mergeLevels[L any](a, later map[string]L, merge func(a, b *L)) map[string]L {
	if later == nil {
		return a
	}

	if a == nil {
		a = make(map[string]L, len(later))
	}

	for name, b := range later {
		level := a[name]
		merge(&level, &b)
		a[name] = level
	}

	return a
}

// merge adds the values that b sets. o and b never set the same value.
func (o *overrides) merge(b *overrides) {
	if *o == (overrides{}) {
		*o = *b

		return
	}

	to, from := reflect.ValueOf(o).Elem(), reflect.ValueOf(b).Elem()

	for i := range to.NumField() {
		if field := from.Field(i); !field.IsNil() {
			to.Field(i).Set(field)
		}
	}
}
