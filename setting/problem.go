package setting

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"boragehub/failure"
)

// mostProblems bounds how many faults one error tells.
const mostProblems = 20

// Problem is one fault of a settings file.
type Problem struct {
	// File is the name that Parse was given.
	File string `json:"file"`
	// Line counts from 1; 0 when it is not known.
	Line int `json:"line"`
	// Key is the dotted key.
	Key string `json:"key"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// String returns p as "file:line: key: text".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}

	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems are the faults of one settings file; as an error it is the cause of
// a failure.BadSettings.
type Problems []Problem

// Error returns one line for each fault.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.String())
	}

	return strings.Join(lines, "\n")
}

// ProblemsOf returns the faults that err tells; none when err has another cause.
func ProblemsOf(err error) Problems {
	var p Problems
	if errors.As(err, &p) {
		return p
	}

	return nil
}

// refuse returns the failure.BadSettings that tells p; nil when p is empty.
func refuse(p Problems) error {
	if len(p) == 0 {
		return nil
	}

	if len(p) > mostProblems {
		p = p[:mostProblems]
	}

	return failure.Wrap(failure.BadSettings, p, "the settings have faults (%d)", len(p))
}

const (
	maxName    = 63
	hashDigits = 64
	hashPrefix = "sha256:"
)

// isName says whether s may name an object. A tree has tens of thousands of
// names, so this is no regular expression.
func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'

		if !letter && (i == 0 || c != '-' && c != '_') {
			return false
		}
	}

	return len(s) > 0 && len(s) <= maxName
}

// isKeyHash says whether s is the hash of a caller's key.
func isKeyHash(s string) bool {
	digits, ok := strings.CutPrefix(s, hashPrefix)
	if !ok || len(digits) != hashDigits {
		return false
	}

	for i := range len(digits) {
		if c := digits[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}

	return true
}

// checker holds the bounds of all settings; it is safe for concurrent use.
var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return f.Tag.Get("toml")
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return time.Duration(f.Int())
	}, Duration(0))

	forms := map[string]func(string) bool{"object_name": isName, "key_hash": isKeyHash}
	for tag, form := range forms {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return form(f.Field().String()) })
		if err != nil {
			panic(err) // an empty tag, which is seen by the first test run
		}
	}

	return v
}

// decode reads text into v strictly and checks its bounds.
func decode(file string, text []byte, v any) Problems {
	if err := decodeStrict(text, v); err != nil {
		return decodeProblems(file, err)
	}

	return check(file, text, v)
}

// check checks the bounds of v, which text was decoded into.
func check(file string, text []byte, v any) Problems {
	var faults validator.ValidationErrors

	err := checker.Struct(v)
	if err == nil {
		return nil
	}

	if !errors.As(err, &faults) {
		return Problems{{File: file, Text: err.Error()}}
	}

	lines := lineIndex(text)
	problems := make(Problems, 0, len(faults))

	for _, f := range faults {
		key := dotted(f.Namespace())
		problems = append(problems, Problem{file, lines.of(key), key, bound(f)})
	}

	return problems
}

// decodeProblems returns what the TOML library found.
func decodeProblems(file string, err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		problems := make(Problems, 0, len(strict.Errors))

		for _, e := range strict.Errors {
			line, _ := e.Position()
			problems = append(problems, Problem{file, line, strings.Join(e.Key(), "."), "unknown key"})
		}

		return problems
	}

	var one *toml.DecodeError
	if errors.As(err, &one) {
		line, _ := one.Position()

		return Problems{{file, line, strings.Join(one.Key(), "."), strings.TrimPrefix(one.Error(), "toml: ")}}
	}

	return Problems{{File: file, Text: err.Error()}}
}

// bound says which bound f broke.
func bound(f validator.FieldError) string {
	value := f.Value()
	if d, ok := value.(time.Duration); ok {
		value = d.String()
	}

	switch f.Tag() {
	case "required":
		return "is required"
	case "object_name":
		return fmt.Sprintf("%q is no name: letters, digits, - and _, at most 63", value)
	case "key_hash":
		return `is no key hash: want "sha256:" and 64 hexadecimal digits`
	case "gte":
		return fmt.Sprintf("%v is too small, want at least %s", value, f.Param())
	case "gt":
		return fmt.Sprintf("%v is too small, want more than %s", value, f.Param())
	case "lte":
		return fmt.Sprintf("%v is too large, want at most %s", value, f.Param())
	case "max":
		return "is too long, want at most " + f.Param()
	case "oneof":
		return fmt.Sprintf("%v is none of: %s", value, f.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s %s", value, f.Tag(), f.Param())
	}
}

// dotted turns a validator's namespace, as `document.overrides.site[a].class`,
// into the key as operators write it, as `site.a.class`.
func dotted(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	key = strings.NewReplacer("overrides.", "", "[", ".", "]", "").Replace(key)

	return key
}

// lines gives the line of each key of a file.
type lines map[string]int

// lineIndex returns the lines of all keys in text, which is valid TOML.
func lineIndex(text []byte) lines {
	index := lines{}
	counts := map[string]int{}
	prefix := ""
	p := unstable.Parser{}

	// Lines are counted on from the last key, so that a tree of megabytes
	// with one fault is not read once for each of its keys.
	line, offset := 1, 0
	lineOf := func(at int) int {
		line += bytes.Count(text[offset:max(at, offset)], []byte{'\n'})
		offset = max(at, offset)

		return line
	}

	p.Reset(text)

	for p.NextExpression() {
		node := p.Expression()
		key, at := keyOf(node)
		here := lineOf(at)

		switch node.Kind {
		case unstable.Table:
			prefix = key + "."
			index[key] = here
		case unstable.ArrayTable:
			element := fmt.Sprintf("%s.%d", key, counts[key])
			counts[key]++
			prefix = element + "."
			index[element] = here
		case unstable.KeyValue:
			index[prefix+key] = here
		default:
		}
	}

	return index
}

// keyOf returns the dotted key of an expression and where it starts.
func keyOf(node *unstable.Node) (string, int) {
	var parts []string

	at := -1

	for it := node.Key(); it.Next(); {
		part := it.Node()
		if at < 0 {
			at = int(part.Raw.Offset)
		}

		parts = append(parts, string(part.Data))
	}

	return strings.Join(parts, "."), max(at, 0)
}

// of returns the line of key or of the nearest key that holds it.
func (l lines) of(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}

		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}

	return 0
}
