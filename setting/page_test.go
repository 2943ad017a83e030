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

const page = "../docs/CONFIGURATION.md"

var update = flag.Bool("update", false, "write "+page+" anew")

// comments returns the doc comment of each field of the package's structs, as TYPE.FIELD.
func comments(t *testing.T) map[string]string {
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

// meaning returns a field's comment without the field's name.
func meaning(texts map[string]string, typ, field string) string {
	text := strings.TrimPrefix(texts[typ+"."+field], field+" ")
	for _, verb := range []string{"is ", "are "} {
		text = strings.TrimPrefix(text, verb)
	}

	return strings.ToUpper(text[:1]) + text[1:]
}

// kind returns what to write in a file for a type.
func kind(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}

	switch t {
	case reflect.TypeFor[Duration]():
		return `time, as "30s"`
	case reflect.TypeFor[Class]():
		return "one of " + strings.Join(classWords[:], ", ")
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

// bounds returns a field's bounds as people write them.
func bounds(tag string) string {
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

func initial(v any) string {
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

// table writes the keys of a struct.
func table(b *strings.Builder, texts map[string]string, typ reflect.Type) {
	b.WriteString("| key | type | bounds | meaning |\n| --- | --- | --- | --- |\n")

	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.Type.Kind() == reflect.Struct {
			continue
		}

		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("toml"), kind(f.Type),
			bounds(f.Tag.Get("validate")), meaning(texts, typ.Name(), f.Name))
	}

	b.WriteString("\n")
}

// document renders the reference from the code.
func reference(t *testing.T) string {
	t.Helper()

	texts := comments(t)

	var b strings.Builder

	b.WriteString(`# Configuration

Every key of the settings tree and of a process's own file. Written from the
code by ` + "`go test ./setting -update`" + `; a test keeps both the same.

Names are letters, digits, ` + "`-`" + ` and ` + "`_`" + `, at most 63. Times bear their unit
(` + "`\"90s\"`, `\"10ms\"`, `\"24h\"`" + `); bytes and tokens are whole numbers. An unknown key is an
error; every fault is told with file, line and key (` + "`boragehub ctl config check`" + `).

## The tree

Operators publish one tree. A level inherits what it does not change:

    KEY = …                                                       the root
    [site.NAME]
    [site.NAME.service.NAME]
    [site.NAME.service.NAME.organisation.NAME]
    [site.NAME.service.NAME.organisation.NAME.workload.NAME]

` + "`boragehub ctl config show --effective SITE/SERVICE/ORGANISATION/WORKLOAD`" + ` tells
what is in force for a path and which level says so. A request's workload is
what its caller names; one that the tree doesn't know inherits from its
organisation, an organisation without a level from the service, and so on.

### Values of every level

| key | type | default | bounds | meaning |
| --- | --- | --- | --- | --- |
`)

	defaults := reflect.ValueOf(Defaults())
	levels := reflect.TypeFor[overrides]()

	for i := range levels.NumField() {
		f := levels.Field(i)
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s | %s |\n", f.Tag.Get("toml"), kind(f.Type),
			initial(defaults.Field(i).Interface()), bounds(f.Tag.Get("validate")), meaning(texts, "Values", f.Name))
	}

	b.WriteString("\n")

	doc := reflect.TypeFor[document]()
	for i := range doc.NumField() {
		if f := doc.Field(i); f.Type.Kind() == reflect.Slice {
			fmt.Fprintf(&b, "### `[[%s]]`\n\n", f.Tag.Get("toml"))
			table(&b, texts, f.Type.Elem())
		}
	}

	b.WriteString("### Example\n\nAs `boragehub ctl config example` writes it:\n\n```toml\n" + Example() + "```\n\n")
	b.WriteString("## A process's own file\n\nWhat a process needs before it can reach the tree. It is read at the start; TLS files\nare read again when they change.\n\n")
	table(&b, texts, reflect.TypeFor[Process]())

	process := reflect.TypeFor[Process]()
	for i := range process.NumField() {
		if f := process.Field(i); f.Type.Kind() == reflect.Struct {
			fmt.Fprintf(&b, "### `[%s]`\n\n", f.Tag.Get("toml"))
			table(&b, texts, f.Type)
		}
	}

	return strings.TrimRight(b.String(), "\n") + "\n"
}

func TestPageTellsEveryKey(t *testing.T) {
	want := reference(t)

	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}

	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}

	if got := string(b); got != want {
		t.Errorf("%s differs from the code; run go test ./setting -update", page)
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
		{"no callers", "callers = \"127.0.0.1:8080\"\n", "", "listen.callers"},
		{"a side without a target", `role = "entry"`, `role = "side"`, "target.url"},
		{"unknown role", `role = "entry"`, `role = "king"`, "role"},
		{"no port", `peers = "127.0.0.1:7000"`, `peers = "127.0.0.1"`, "listen.peers"},
		{"no URL", `log_url = "http://127.0.0.1:9001"`, `log_url = "log"`, "platform.log_url"},
		{"unknown key", "key_file", "keyfile", "tls.keyfile"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseProcess("e1.toml", []byte(strings.Replace(entry, c.from, c.to, 1)))

			problems := ProblemsOf(err)
			if len(problems) == 0 || problems[0].Key != c.key {
				t.Errorf("got %v, want a fault at %s", err, c.key)
			}
		})
	}
}
