package setting

import (
	"bytes"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// chunkTables is how many tables of a file are decoded in one go.
const chunkTables = 64

// decodeTree reads text into doc as decode does, in time that grows with the
// text and not with its square.
//
// The TOML library compares each table with all its siblings, so that a tree
// of 10,000 organisations takes it longer than all else together, at each of
// thousands of changes a day. Pieces of the file are therefore decoded one by
// one and put together. A file in which pieces could depend on each other, or
// that has a fault, is decoded whole, so that what is right and what is told of
// a fault never depends on the pieces.
func decodeTree(file string, text []byte, doc *document) Problems {
	chunks := split(text)
	if len(chunks) < 2 {
		return decode(file, text, doc)
	}

	var whole document

	for _, chunk := range chunks {
		var part document
		if err := decodeStrict(chunk, &part); err != nil {
			return decode(file, text, doc)
		}

		whole.merge(&part)
	}

	*doc = whole

	return check(file, text, doc)
}

// split cuts text before headers. It returns nothing for a file with a fault,
// or with anything but plain keys in tables that are each named once.
func split(text []byte) [][]byte {
	var (
		p      unstable.Parser
		chunks [][]byte
		start  int
		tables int
	)

	headers := map[string]bool{}

	p.Reset(text)

	for p.NextExpression() {
		node := p.Expression()

		switch node.Kind {
		case unstable.KeyValue:
			if !plain(node) {
				return nil
			}
		case unstable.Table, unstable.ArrayTable:
			key, at := keyOf(node)
			if node.Kind == unstable.Table && headers[key] {
				return nil
			}

			headers[key] = true
			tables++

			if cut := bytes.LastIndexByte(text[:at], '\n') + 1; tables%chunkTables == 0 && cut > start {
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

// plain says whether an expression sets one key of its own table to a value
// that is no table.
func plain(node *unstable.Node) bool {
	it := node.Key()

	return it.Next() && it.IsLast() && node.Value().Kind != unstable.InlineTable
}

// decodeStrict reads text into v; an unknown key is an error.
func decodeStrict(text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()

	return d.Decode(v)
}

// merge adds what a later piece of the same file names.
func (d *document) merge(later *document) {
	d.overrides.merge(&later.overrides)

	d.Sites = mergeLevels(d.Sites, later.Sites, func(a, b *siteLevel) {
		a.merge(&b.overrides)
		a.Services = mergeLevels(a.Services, b.Services, mergeService)
	})
	d.DataCentres = slices.Concat(d.DataCentres, later.DataCentres)
	d.Links = slices.Concat(d.Links, later.Links)
	d.Services = slices.Concat(d.Services, later.Services)
	d.WeightRolls = slices.Concat(d.WeightRolls, later.WeightRolls)
	d.Drains = slices.Concat(d.Drains, later.Drains)
	d.Organisations = append(d.Organisations, later.Organisations...)
}

func mergeService(a, b *serviceLevel) {
	a.merge(&b.overrides)
	a.Organisations = mergeLevels(a.Organisations, b.Organisations, func(a, b *organisationLevel) {
		a.merge(&b.overrides)
		a.Workloads = mergeLevels(a.Workloads, b.Workloads, func(a, b *workloadLevel) {
			a.merge(&b.overrides)
		})
	})
}

// mergeLevels adds the levels of later to a; one that is in both is merged.
func mergeLevels[L any](a, later map[string]L, merge func(a, b *L)) map[string]L {
	if a == nil {
		return maps.Clone(later)
	}

	for name, b := range later {
		if old, ok := a[name]; ok {
			merge(&old, &b)
			b = old
		}

		a[name] = b
	}

	return a
}

// merge adds what b changes; a and b never change the same value.
func (o *overrides) merge(b *overrides) {
	to, from := reflect.ValueOf(o).Elem(), reflect.ValueOf(b).Elem()

	for i := range to.NumField() {
		if field := from.Field(i); !field.IsNil() {
			to.Field(i).Set(field)
		}
	}
}
