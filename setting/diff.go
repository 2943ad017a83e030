package setting

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Change is one key that two trees give another value.
type Change struct {
	// Key is the dotted key. An object of the world shows by its name, as in
	// service.booking-api.kind.
	Key string `json:"key"`
	// Before is the value in the older tree, as JSON; empty where the key is new.
	Before string `json:"before,omitempty"`
	// After is the value in the newer tree, as JSON; empty where the key is gone.
	After string `json:"after,omitempty"`
}

// String returns c as "key: before -> after" with - for what is absent.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Key, orDash(c.Before), orDash(c.After))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}

	return s
}

// Diff returns the keys that differ from a to b, in order of key. Comments and
// order don't count. A nil tree has no keys.
func Diff(a, b *Tree) []Change {
	before, after := a.flat(), b.flat()

	var changes []Change

	for key, old := range before {
		if now, ok := after[key]; !ok || now != old {
			changes = append(changes, Change{key, old, now})
		}
	}

	for key, now := range after {
		if _, ok := before[key]; !ok {
			changes = append(changes, Change{key, "", now})
		}
	}

	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Key, y.Key) })

	return changes
}

// flat returns the values that t's file names, by dotted key.
func (t *Tree) flat() map[string]string {
	if t == nil {
		return nil
	}

	var raw map[string]any
	if err := toml.Unmarshal(t.text, &raw); err != nil {
		return nil // t was parsed from the same text
	}

	values := map[string]string{}
	flatten(values, "", raw)

	return values
}

// flatten adds what v holds under key to values.
func flatten(values map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, child := range v {
			flatten(values, join(key, name), child)
		}
	case []any:
		if !flattenObjects(values, key, v) {
			values[key] = literal(v)
		}
	default:
		values[key] = literal(v)
	}
}

// flattenObjects adds an array of tables by the names of its elements, so that
// an element moved is no change. It reports false for any other array.
func flattenObjects(values map[string]string, key string, elements []any) bool {
	for i, element := range elements {
		object, ok := element.(map[string]any)
		if !ok {
			return false
		}

		flatten(values, join(key, nameOf(object, i)), object)
	}

	return len(elements) > 0
}

// nameOf returns the name by which operators know an object.
func nameOf(object map[string]any, i int) string {
	for _, key := range []string{"name", "target", "service"} {
		if name, ok := object[key].(string); ok {
			return name
		}
	}

	if between, ok := object["between"].([]any); ok && len(between) == 2 {
		pair := ends(fmt.Sprint(between[0]), fmt.Sprint(between[1]))

		return pair[0] + "~" + pair[1]
	}

	return fmt.Sprint(i)
}

func join(key, name string) string {
	if key == "" {
		return name
	}

	return key + "." + name
}

func literal(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}

	return string(b)
}
