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

// maxProblems is the maximum number of problems in one error.
const maxProblems = 20

// Problem is one error in a settings file.
type Problem struct {
	// File is the name that was passed to Parse or ParseProcess.
	File string `json:"file"`
	// Line counts from 1; 0 means unknown.
	Line int `json:"line"`
	// Key is the dotted key; empty if the problem belongs to no key.
	Key string `json:"key"`
	// Text describes the problem.
	Text string `json:"text"`
}

// String returns p as "file:line: key: text", without the key if it is empty.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}

	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems are the problems of one settings file. As an error they are the cause
// of a failure.BadSettings.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}

	return strings.Join(lines, "\n")
}

// ProblemsOf returns the Problems that err wraps, or nil if it wraps none.
func ProblemsOf(err error) Problems {
	var p Problems
	if errors.As(err, &p) {
		return p
	}

	return nil
}

// badSettings returns a failure.BadSettings that wraps the first maxProblems of
// p, or nil if p is empty.
func badSettings(p Problems) error {
	if len(p) == 0 {
		return nil
	}

	if len(p) > maxProblems {
		p = p[:maxProblems]
	}

	return failure.Wrap(failure.BadSettings, p, "the settings have problems (%d)", len(p))
}

const (
	maxName    = 63
	hashDigits = 64
	hashPrefix = "sha256:"
)

// isName reports whether s is a valid object name. A tree has tens of thousands
// of names, so this is a loop instead of a slower regular expression.
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

// isKeyHash reports whether s has the form of a key hash: hashPrefix and
// hashDigits lower-case hexadecimal digits.
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

// structValidator checks the bounds in the validate tags of settings. It is safe
// for concurrent use.
var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return f.Tag.Get("toml")
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return time.Duration(f.Int())
	}, Duration(0))

	rules := map[string]func(string) bool{"object_name": isName, "key_hash": isKeyHash}
	for tag, valid := range rules {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
		if err != nil {
			panic(err) // only for an invalid tag name, which any test of the package would hit
		}
	}

	return v
}

// decode decodes text into v, rejecting unknown keys, and checks its bounds.
func decode(file string, text []byte, v any) Problems {
	if err := decodeStrict(text, v); err != nil {
		return decodeErrorProblems(file, err)
	}

	return checkBounds(file, text, v)
}

// checkBounds checks the bounds of v, which was decoded from text.
func checkBounds(file string, text []byte, v any) Problems {
	var violations validator.ValidationErrors

	err := structValidator.Struct(v)
	if err == nil {
		return nil
	}

	if !errors.As(err, &violations) {
		return Problems{{File: file, Text: err.Error()}}
	}

	lines := indexKeyLines(text)
	problems := make(Problems, 0, len(violations))

	for _, f := range violations {
		key := dottedKey(f.Namespace())
		problems = append(problems, Problem{file, lines.line(key), key, violation(f)})
	}

	return problems
}

// decodeErrorProblems converts an error of the TOML library to Problems.
func decodeErrorProblems(file string, err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		problems := make(Problems, 0, len(strict.Errors))

		for _, e := range strict.Errors {
			line, _ := e.Position()
			problems = append(problems, Problem{file, line, strings.Join(e.Key(), "."), "unknown key"})
		}

		return problems
	}

	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()

		return Problems{{file, line, strings.Join(decodeError.Key(), "."), strings.TrimPrefix(decodeError.Error(), "toml: ")}}
	}

	return Problems{{File: file, Text: err.Error()}}
}

// violation describes the bound that f violates.
func violation(f validator.FieldError) string {
	value := f.Value()
	if d, ok := value.(time.Duration); ok {
		value = d.String()
	}

	switch f.Tag() {
	case "required":
		return "is required"
	case "object_name":
		return fmt.Sprintf("%q is not a valid name: use letters, digits, - and _, at most 63 characters", value)
	case "key_hash":
		return `is not a key hash: want "sha256:" and 64 hexadecimal digits`
	case "gte":
		return fmt.Sprintf("%v is too small, want at least %s", value, f.Param())
	case "gt":
		return fmt.Sprintf("%v is too small, want more than %s", value, f.Param())
	case "lte":
		return fmt.Sprintf("%v is too large, want at most %s", value, f.Param())
	case "max":
		return "is too long, want at most " + f.Param()
	case "oneof":
		return fmt.Sprintf("%v is not one of: %s", value, f.Param())
	default:
		return fmt.Sprintf("%v violates the rule %s %s", value, f.Tag(), f.Param())
	}
}

// dottedKey converts a namespace of the validator, such as
// `document.overrides.site[a].class`, to the key in the file, `site.a.class`.
func dottedKey(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	key = strings.NewReplacer("overrides.", "", "[", ".", "]", "").Replace(key)

	return key
}

// keyLines maps the dotted keys of a file to their line numbers.
type keyLines map[string]int

// indexKeyLines returns the line numbers of all keys in text, which is valid
// TOML.
func indexKeyLines(text []byte) keyLines {
	index := keyLines{}
	counts := map[string]int{}
	prefix := ""
	p := unstable.Parser{}

	// Newlines are counted from the previous key onwards, so that a tree of
	// several megabytes is scanned once and not once per key.
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
		keyLine := lineOf(at)

		switch node.Kind {
		case unstable.Table:
			prefix = key + "."
			index[key] = keyLine
		case unstable.ArrayTable:
			element := fmt.Sprintf("%s.%d", key, counts[key])
			counts[key]++
			prefix = element + "."
			index[element] = keyLine
		case unstable.KeyValue:
			index[prefix+key] = keyLine
		default:
		}
	}

	return index
}

// keyOf returns the dotted key of an expression and its byte offset in the text.
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

// line returns the line of key or, if it has none, of the nearest enclosing key;
// 0 if neither is known.
func (l keyLines) line(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}

		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}

	return 0
}
