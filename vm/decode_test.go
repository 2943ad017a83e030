package vm

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"boragehub/failure"
)

// Guards against a list that no process follows any more because of one of its VMs.
func TestOddVMIsLeftOut(t *testing.T) {
	sound := VM{Name: "e1", DataCentre: "yvr-east", Kind: Engine, Service: "s", Address: "10.0.0.1:80", SideAddress: "10.0.0.1:7700"}

	text, err := json.Marshal(sound)
	if err != nil {
		t.Fatal(err)
	}

	// with returns the sound VM with the text of one field replaced.
	with := func(field, value string) string {
		var all map[string]json.RawMessage
		if err := json.Unmarshal(text, &all); err != nil {
			t.Fatal(err)
		}

		delete(all, field)

		b, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}

		return strings.TrimSuffix(string(b), "}") + fmt.Sprintf(",%q:%s}", field, value)
	}

	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

	for _, odd := range []string{
		"null", "1", "1e400", `"e2"`, "[]", "{}", deep, strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
		with("vm", "7"), with("vm", `""`), with("vm", deep), with("unknown", deep), with("kind", `"other"`), with("kind", "1e400"), with("state", `"asleep"`), with("state", "18446744073709551616"),
		with("address", `"10.0.0.1:65536"`), with("address", `"10.0.0.1:0"`), with("address", `"10.0.0.1:-1"`), with("address", `"10.0.0.1"`), with("address", `":80"`), with("side_address", `"10.0.0.1:99999"`),
		`{"vm":"]}\"[{"}`, `{"vm" "e2"}`, "nonsense",
	} {
		got, err := decode([]byte(` { "vms" : [` + string(text) + `, ` + odd + "\n," + string(text) + `], "version":3 } `))
		if err != nil || got.version != 3 || len(got.unreadable) != 1 || !reflect.DeepEqual(got.vms, []VM{sound, sound}) {
			t.Errorf("%.60s: got version %d, %d VMs, %v left out, %v, want the two others", odd, got.version, len(got.vms), got.unreadable, err)
		}
	}
}

func TestListIsDecodedOrRefused(t *testing.T) {
	for _, tt := range []struct {
		text string
		want bool
	}{
		{`{"version":1,"vms":[]}`, true},
		{`{"version":1,"vms":null}`, true},
		{`{"vms":[],"more":{"a":[1,"]"]}}`, true},
		{`{}`, true},
		{``, false},
		{`null`, false},
		{`[]`, false},
		{`{"version":-1,"vms":[]}`, false},
		{`{"version":1e400,"vms":[]}`, false},
		{`{"vms":{}}`, false},
		{`{"vms":[1 2]}`, false},
		{`{"vms":[1,`, false},
		{`{"vms":["}`, false},
		{`{"vms":[[[[`, false},
		{`{"vms":[]`, false},
		{`{"vms" []}`, false},
		{`{vms:[]}`, false},
		{`{"a":}`, false},
	} {
		_, err := decode([]byte(tt.text))
		if got := err == nil; got != tt.want || !got && failure.KindOf(err) != failure.BadMessage {
			t.Errorf("%s: got %v, want decoded %v", tt.text, err, tt.want)
		}
	}
}
