package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"boragehub/site"
)

// publishedWith returns a configuration with a version and organisations of which some are isolated.
func publishedWith(version int64, isolated ...string) *site.Configuration {
	p := published
	p.Version = version
	p.Organisations = nil

	for i, name := range []string{"ferry", "bureau", "kiosk"} {
		p.Organisations = append(p.Organisations, site.Organisation{Name: name, Keys: []string{fmt.Sprintf("k%d", i+1)}, Isolated: slices.Contains(isolated, name)})
	}

	return site.New(p)
}

// Guards against cached parts that an organisation left before it was isolated, and that prompts of others use afterwards.
func TestPartsFromBeforeIsolationAreNotUsedByOthers(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)

	steps := []struct {
		isolated []string
		key      string
		want     int // the first step with the same salt
	}{
		{nil, "k1", 0},
		{nil, "k2", 0},
		{[]string{"ferry"}, "k1", 2},
		{[]string{"ferry"}, "k2", 3},
		{[]string{"ferry"}, "k3", 3},
		{[]string{"ferry", "bureau"}, "k2", 5},
		{[]string{"ferry", "bureau"}, "k3", 6},
		{nil, "k1", 0},
	}

	var salts []string

	for i, s := range steps {
		env.gateway.Configure(publishedWith(int64(2+i), s.isolated...))

		if got := env.request(t, http.MethodPost, "/llm/1", "x", "Id", fmt.Sprint(i), "Tokens", "5000", "Key", s.key); got.status != http.StatusOK {
			t.Fatalf("step %d: got status %d", i, got.status)
		}

		salts = append(salts, e.arrival(i).Header.Get("Salt"))

		if got := slices.Index(salts, salts[i]); got != s.want {
			t.Errorf("step %d: got the salt of step %d, want that of %d", i, got, s.want)
		}
	}
}

// Guards against a prompt that uses a part which another organisation made, and one of the two is isolated: whatever the order of
// configurations, which entries hold an older one, and how long prompts have waited there.
func TestIsolatedOrganisationsShareNoSalt(t *testing.T) {
	names := []string{"ferry", "bureau", "kiosk"}

	rapid.Check(t, func(rt *rapid.T) {
		var (
			isolatedIn [][]string
			entries    [3]*Gateway
		)

		publish := func(rt *rapid.T) {
			isolatedIn = append(isolatedIn, rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(rt, "isolated"))
		}
		publish(rt)

		for i := range entries {
			entries[i] = &Gateway{}
			entries[i].Configure(publishedWith(1, isolatedIn[0]...))
		}

		makers := make(map[string][]string) // organisations by salt
		waiting := make(map[string]*task)

		rt.Repeat(map[string]func(*rapid.T){
			"publish": publish,
			"learn": func(rt *rapid.T) {
				v := len(isolatedIn)
				entries[rapid.IntRange(0, 2).Draw(rt, "entry")].Configure(publishedWith(int64(v), isolatedIn[v-1]...))
			},
			"accept": func(rt *rapid.T) {
				g := entries[rapid.IntRange(0, 2).Draw(rt, "entry")]
				o, _ := g.current.Load().Organisation(rapid.SampledFrom(names).Draw(rt, "organisation"))
				waiting[o.Name] = &task{g: g, organisation: o, cfg: g.current.Load(), arrival: CallerRequest{Prompt: &Prompt{Model: "m"}}}
			},
			"send": func(rt *rapid.T) {
				name := rapid.SampledFrom(names).Draw(rt, "organisation")

				x, ok := waiting[name]
				if !ok {
					return
				}

				l := &lookup{t: x}
				l.isolated, l.apart = x.isolation()
				salt := l.scope(1).Salt()
				known := isolatedIn[x.g.ConfigVersion()-1]

				for _, maker := range makers[salt] {
					if maker != name && (slices.Contains(known, maker) || slices.Contains(known, name)) {
						rt.Errorf("%s uses salt %q of %s, and isolated are %v", name, salt, maker, known)
					}
				}

				makers[salt] = append(makers[salt], name)
			},
		})
	})
}
