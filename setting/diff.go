package setting

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Change is a key whose value differs between two trees.
type Change struct {
	// Key is the dotted key. An element of an array of tables appears under its
	// name, as in service.booking-api.kind.
	Key string `json:"key"`
	// Before is the value in the older tree, as JSON; empty if the key was added.
	Before string `json:"before,omitempty"`
	// After is the value in the newer tree, as JSON; empty if the key was removed.
	After string `json:"after,omitempty"`
}

// String returns c as "key: before -> after", with - for a missing value.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Key, orDash(c.Before), orDash(c.After))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}

	return s
}

// Diff returns the keys whose values differ from a to b, sorted by key. Comments
// and the order of keys and tables are ignored. A nil tree has no keys.
func Diff(a, b *Tree) []Change {
	before, after := a.flatValues(), b.flatValues()

	var changes []Change

	for key, oldValue := range before {
		if newValue, ok := after[key]; !ok || newValue != oldValue {
			changes = append(changes, Change{key, oldValue, newValue})
		}
	}

	for key, newValue := range after {
		if _, ok := before[key]; !ok {
			changes = append(changes, Change{key, "", newValue})
		}
	}

	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Key, y.Key) })

	return changes
}

// flatValues returns the values that t's file sets, as JSON by dotted key.
func (t *Tree) flatValues() map[string]string {
	if t == nil {
		return nil
	}

	var raw map[string]any
	if err := toml.Unmarshal(t.text, &raw); err != nil {
		return nil // unreachable: t was parsed from the same text
	}

	values := map[string]string{}
	flatten(values, "", raw)

	return values
}

// flatten adds v, with everything nested in it, to values under key.
func flatten(values map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, child := range v {
			flatten(values, joinKey(key, name), child)
		}
	case []any:
		if !flattenObjects(values, key, v) {
			values[key] = jsonText(v)
		}
	default:
		values[key] = jsonText(v)
	}
}

// flattenObjects adds the elements of an array of tables to values under their
// names, so that moving an element is not a change. It returns false for an
// empty array and for an array of other values.
func flattenObjects(values map[string]string, key string, elements []any) bool {
	for i, element := range elements {
		object, ok := element.(map[string]any)
		if !ok {
			return false
		}

		flatten(values, joinKey(key, objectName(object, i)), object)
	}

	return len(elements) > 0
}

// objectName returns the name of an element of an array of tables: its name,
// target, service or pair of data centres, or else its index i.
func objectName(object map[string]any, i int) string {
	for _, key := range []string{"name", "target", "service"} {
		if name, ok := object[key].(string); ok {
			return name
		}
	}

	if between, ok := object["between"].([]any); ok && len(between) == 2 {
		pair := sortedPair(fmt.Sprint(between[0]), fmt.Sprint(between[1]))

		return pair[0] + "~" + pair[1]
	}

	return fmt.Sprint(i)
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}

	return key + "." + name
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}

	return string(b)
}
