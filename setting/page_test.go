package setting

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const referencePage = "../docs/CONFIGURATION.md"

var update = flag.Bool("update", false, "write "+referencePage+" from the code")

// fieldComments returns the doc comment of each field of the package's structs, by
// TYPE.FIELD.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()

	texts := map[string]string{}

	for _, file := range []string{"values.go", "world.go", "process.go"} {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}

		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}

			if s, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range s.Fields.List {
					texts[spec.Name.Name+"."+field.Names[0].Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
				}
			}

			return true
		})
	}

	return texts
}

// keyMeaning returns a field's doc comment without the field's name and the verb.
func keyMeaning(texts map[string]string, typ, field string) string {
	text := strings.TrimPrefix(texts[typ+"."+field], field+" ")
	for _, verb := range []string{"is ", "are "} {
		text = strings.TrimPrefix(text, verb)
	}

	return strings.ToUpper(text[:1]) + text[1:]
}

// keyType describes the TOML values of a type.
func keyType(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}

	switch t {
	case reflect.TypeFor[Duration]():
		return `duration, such as "30s"`
	case reflect.TypeFor[Class]():
		return "one of " + strings.Join(classNames[:], ", ")
	}

	switch t.Kind() {
	case reflect.Slice:
		return "list of text"
	case reflect.Array:
		return fmt.Sprintf("list of %d texts", t.Len())
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// keyBounds describes the bounds in a validate tag.
func keyBounds(tag string) string {
	var parts []string

	for rule := range strings.SplitSeq(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")

		switch name {
		case "required":
			parts = append(parts, "required")
		case "gte":
			parts = append(parts, "≥ "+value)
		case "gt":
			parts = append(parts, "> "+value)
		case "lte":
			parts = append(parts, "≤ "+value)
		case "max":
			parts = append(parts, "at most "+value)
		case "oneof":
			parts = append(parts, "one of "+value)
		case "startswith":
			parts = append(parts, "begins with "+value)
		case "object_name":
			parts = append(parts, "a name")
		case "key_hash":
			parts = append(parts, "a key hash")
		case "hostname_port":
			parts = append(parts, "IP:PORT")
		case "http_url":
			parts = append(parts, "a URL")
		}
	}

	return strings.Join(parts, ", ")
}

func defaultText(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return fmt.Sprintf("%q", v)
	case Class:
		return fmt.Sprintf("%q", v)
	case []string:
		return "[" + strings.ReplaceAll(fmt.Sprintf("%q", v)[1:], " ", ", ")
	default:
		return fmt.Sprint(v)
	}
}

// writeKeyTable writes a table of the keys of a struct.
func writeKeyTable(b *strings.Builder, texts map[string]string, typ reflect.Type) {
	b.WriteString("| key | type | bounds | meaning |\n| --- | --- | --- | --- |\n")

	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.Type.Kind() == reflect.Struct {
			continue
		}

		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("toml"), keyType(f.Type),
			keyBounds(f.Tag.Get("validate")), keyMeaning(texts, typ.Name(), f.Name))
	}

	b.WriteString("\n")
}

// renderReference renders the configuration reference from the code.
func renderReference(t *testing.T) string {
	t.Helper()

	texts := fieldComments(t)

	var b strings.Builder

	b.WriteString(`# Configuration

Every key of the settings tree and of the process settings file. Generated from the
code by ` + "`go test ./setting -update`" + `; a test checks that it is up to date.

Names consist of letters, digits, ` + "`-`" + ` and ` + "`_`" + `, at most 63 characters. Durations have a unit
(` + "`\"90s\"`, `\"10ms\"`, `\"24h\"`" + `); bytes and tokens are whole numbers. An unknown key is an
error; every problem is reported with file, line and key (` + "`boragehub ctl config check`" + `).

## The tree

Operators publish one tree. A level inherits the values that it does not set:

    KEY = …                                                       the root
    [site.NAME]
    [site.NAME.service.NAME]
    [site.NAME.service.NAME.organisation.NAME]
    [site.NAME.service.NAME.organisation.NAME.workload.NAME]

` + "`boragehub ctl config show --effective SITE/SERVICE/ORGANISATION/WORKLOAD`" + ` shows
the values in force for a path and the level that sets each. The caller names the
workload of a request. A workload that is not in the tree inherits from its
organisation, an organisation without a level from the service, and so on.

### Values of every level

| key | type | default | bounds | meaning |
| --- | --- | --- | --- | --- |
`)

	defaults := reflect.ValueOf(Defaults())
	levels := reflect.TypeFor[overrides]()

	for i := range levels.NumField() {
		f := levels.Field(i)
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s | %s |\n", f.Tag.Get("toml"), keyType(f.Type),
			defaultText(defaults.Field(i).Interface()), keyBounds(f.Tag.Get("validate")), keyMeaning(texts, "Values", f.Name))
	}

	b.WriteString("\n")

	doc := reflect.TypeFor[document]()
	for i := range doc.NumField() {
		if f := doc.Field(i); f.Type.Kind() == reflect.Slice {
			fmt.Fprintf(&b, "### `[[%s]]`\n\n", f.Tag.Get("toml"))
			writeKeyTable(&b, texts, f.Type.Elem())
		}
	}

	b.WriteString("### Example\n\nThe output of `boragehub ctl config example`:\n\n```toml\n" + Example() + "```\n\n")
	b.WriteString("## A process's own file\n\nThe settings that a process needs before it can fetch the tree. The file is read at the\nstart; TLS files are reloaded when they change.\n\n")
	writeKeyTable(&b, texts, reflect.TypeFor[Process]())

	process := reflect.TypeFor[Process]()
	for i := range process.NumField() {
		if f := process.Field(i); f.Type.Kind() == reflect.Struct {
			fmt.Fprintf(&b, "### `[%s]`\n\n", f.Tag.Get("toml"))
			writeKeyTable(&b, texts, f.Type)
		}
	}

	return strings.TrimRight(b.String(), "\n") + "\n"
}

func TestConfigurationPageMatchesCode(t *testing.T) {
	want := renderReference(t)

	if *update {
		if err := os.WriteFile(referencePage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}

	b, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}

	if got := string(b); got != want {
		t.Errorf("%s differs from the code; run go test ./setting -update", referencePage)
	}
}

func TestProcessSettings(t *testing.T) {
	const entry = `role = "entry"
vm = "e1"
data_centre = "yvr-east"
site = "bc-south"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7000"
operators = "127.0.0.1:9000"
[platform]
log_url = "http://127.0.0.1:9001"
vm_list_url = "http://127.0.0.1:9002"
[tls]
ca_file = "ca.pem"
certificate_file = "e1.pem"
key_file = "e1.key"
`

	p, err := ParseProcess("e1.toml", []byte(entry))
	if err != nil {
		t.Fatal(err)
	}

	if got, want := p.Limits.DrainTimeout, Duration(defaultDrainTimeout); got != want {
		t.Errorf("drain timeout: got %v, want %v", got, want)
	}

	cases := []struct{ name, from, to, key string }{
		{"entry without a callers address", "callers = \"127.0.0.1:8080\"\n", "", "listen.callers"},
		{"side process without a target", `role = "entry"`, `role = "side"`, "target.url"},
		{"unknown role", `role = "entry"`, `role = "king"`, "role"},
		{"address without a port", `peers = "127.0.0.1:7000"`, `peers = "127.0.0.1"`, "listen.peers"},
		{"not a URL", `log_url = "http://127.0.0.1:9001"`, `log_url = "log"`, "platform.log_url"},
		{"unknown key", "key_file", "keyfile", "tls.keyfile"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseProcess("e1.toml", []byte(strings.Replace(entry, c.from, c.to, 1)))

			problems := ProblemsOf(err)
			if len(problems) == 0 || problems[0].Key != c.key {
				t.Errorf("got %v, want a problem at %s", err, c.key)
			}
		})
	}
}
