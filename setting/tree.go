package setting

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// Path identifies the levels of the tree that apply to a request. A level that
// is empty or not in the tree inherits all values of the level above.
type Path struct {
	Site         string
	Service      string
	Organisation string
	Workload     string
}

// String returns p as SITE/SERVICE/ORGANISATION/WORKLOAD.
func (p Path) String() string {
	return p.Site + "/" + p.Service + "/" + p.Organisation + "/" + p.Workload
}

// document is the TOML form of a settings tree.
type document struct {
	overrides
	Sites          map[string]siteLevel `toml:"site" validate:"dive,keys,object_name,endkeys"`
	DataCentres    []DataCentre         `toml:"data_centre" validate:"dive"`
	Links          []Link               `toml:"link" validate:"dive"`
	Services       []Service            `toml:"service" validate:"dive"`
	WeightRollouts []WeightRollout      `toml:"weight_roll" validate:"dive"`
	Drains         []Drain              `toml:"drain" validate:"dive"`
	Evacuations    []Evacuation         `toml:"evacuation" validate:"dive"`
	Organisations  []Organisation       `toml:"organisation" validate:"dive"`
}

// Hash is the SHA-256 of a tree's text.
type Hash [sha256.Size]byte

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// HashOf returns the Hash of a tree's text.
func HashOf(text []byte) Hash { return sha256.Sum256(text) }

// node is one level of the tree with its values in force, inherited ones included.
type node struct {
	values   Values
	children map[string]*node
}

// Tree is a validated tree of settings. It is immutable and safe for concurrent
// use. Parse and ParseUpdate create one.
type Tree struct {
	name string
	text []byte
	hash Hash
	root *node
	doc  document
	// chunks are the decoded chunks of text, for reuse by ParseUpdate; nil if
	// text was decoded in one run.
	chunks chunkCache

	dataCentres   map[string]*DataCentre
	links         map[[2]string]*Link
	services      map[string]*Service
	organisations map[string]*Organisation
	drains        map[string]*Drain
	evacuations   map[string]*Evacuation
}

// Parse parses and validates a tree. name is the file name for error messages. An
// error is a failure.BadSettings whose cause is Problems.
func Parse(name string, text []byte) (*Tree, error) {
	var none *Tree

	return none.ParseUpdate(name, text)
}

// ParseUpdate returns the same as Parse, in less time if text differs little from
// t's text. It doesn't modify t, which may be nil.
func (t *Tree) ParseUpdate(name string, text []byte) (*Tree, error) {
	var cached chunkCache
	if t != nil {
		cached = t.chunks
	}

	return parse(name, slices.Clone(text), cached)
}

func parse(name string, text []byte, cached chunkCache) (*Tree, error) {
	t := &Tree{name: name, text: text, hash: HashOf(text)}

	var problems Problems
	if t.chunks, problems = decodeTree(name, t.text, &t.doc, cached); len(problems) > 0 {
		return nil, badSettings(problems)
	}

	if problems := t.indexObjects(); len(problems) > 0 {
		return nil, badSettings(problems)
	}

	t.root = t.buildLevels()

	return t, nil
}

// buildLevels computes the values in force at each level, so that a request only
// has to look them up. It returns the root.
func (t *Tree) buildLevels() *node {
	root := &node{values: t.doc.apply(Defaults())}

	for name, site := range t.doc.Sites {
		s := root.addChild(name, &site.overrides)
		for name, service := range site.Services {
			v := s.addChild(name, &service.overrides)
			for name, organisation := range service.Organisations {
				o := v.addChild(name, &organisation.overrides)
				for name, workload := range organisation.Workloads {
					o.addChild(name, &workload.overrides)
				}
			}
		}
	}

	return root
}

// addChild adds a level below n that overrides n's values with o, and returns it.
func (n *node) addChild(name string, o *overrides) *node {
	if n.children == nil {
		n.children = map[string]*node{}
	}

	child := &node{values: o.apply(n.values)}
	n.children[name] = child

	return child
}

// Effective returns the values in force for p. It doesn't allocate. The caller
// must not modify the slices in the result.
func (t *Tree) Effective(p Path) Values {
	n := t.root

	for _, name := range [...]string{p.Site, p.Service, p.Organisation, p.Workload} {
		child, ok := n.children[name]
		if !ok {
			break
		}

		n = child
	}

	return n.values
}

// Name returns the file name that was passed to Parse.
func (t *Tree) Name() string { return t.name }

// Text returns the text of t; the caller must not modify it.
func (t *Tree) Text() []byte { return t.text }

// Hash returns the hash of t's text.
func (t *Tree) Hash() Hash { return t.hash }

// DataCentres returns all data centres in the order of the file.
func (t *Tree) DataCentres() []DataCentre { return t.doc.DataCentres }

// DataCentre returns the data centre called name, and false if there is none.
func (t *Tree) DataCentre(name string) (DataCentre, bool) { return lookup(t.dataCentres, name) }

// Links returns all links in the order of the file.
func (t *Tree) Links() []Link { return t.doc.Links }

// Link returns the link between the data centres a and b, in either order, and
// false if there is none.
func (t *Tree) Link(a, b string) (Link, bool) { return lookup(t.links, sortedPair(a, b)) }

// Services returns all services in the order of the file.
func (t *Tree) Services() []Service { return t.doc.Services }

// Service returns the service called name, and false if there is none.
func (t *Tree) Service(name string) (Service, bool) { return lookup(t.services, name) }

// Organisations returns all organisations in the order of the file.
func (t *Tree) Organisations() []Organisation { return t.doc.Organisations }

// Organisation returns the organisation called name, and false if there is none.
func (t *Tree) Organisation(name string) (Organisation, bool) { return lookup(t.organisations, name) }

// WeightRollouts returns the requested rollouts of weight versions.
func (t *Tree) WeightRollouts() []WeightRollout { return t.doc.WeightRollouts }

// Drains returns the requested drains of targets.
func (t *Tree) Drains() []Drain { return t.doc.Drains }

// Drain returns the requested drain of the target on vm, and false if there is
// none.
func (t *Tree) Drain(vm string) (Drain, bool) { return lookup(t.drains, vm) }

// Evacuations returns the requested evacuations of data centres.
func (t *Tree) Evacuations() []Evacuation { return t.doc.Evacuations }

// Evacuation returns the requested evacuation of a data centre, and false if there
// is none.
func (t *Tree) Evacuation(dataCentre string) (Evacuation, bool) {
	return lookup(t.evacuations, dataCentre)
}

// Sites returns the sorted names of the sites of all data centres.
func (t *Tree) Sites() []string {
	names := map[string]bool{}
	for i := range t.doc.DataCentres {
		names[t.doc.DataCentres[i].Site] = true
	}

	return slices.Sorted(maps.Keys(names))
}

func lookup[K comparable, V any](m map[K]*V, k K) (V, bool) {
	if v, ok := m[k]; ok {
		return *v, true
	}

	var zero V

	return zero, false
}

// indexObjects indexes the objects by name, sets their defaults and checks the
// references between them. Without the check, a misspelt name in an override
// would show only in that its values never come into force.
func (t *Tree) indexObjects() Problems {
	c := referenceChecker{file: t.name, text: t.text}

	for i := range t.doc.DataCentres {
		if t.doc.DataCentres[i].ConcurrentLoads == 0 {
			t.doc.DataCentres[i].ConcurrentLoads = defaultConcurrentLoads
		}
	}

	t.dataCentres = indexByName(&c, "data_centre", t.doc.DataCentres, func(d *DataCentre) string { return d.Name })
	t.services = indexByName(&c, "service", t.doc.Services, func(s *Service) string { return s.Name })
	t.organisations = indexByName(&c, "organisation", t.doc.Organisations, func(o *Organisation) string { return o.Name })
	t.links = indexByName(&c, "link", t.doc.Links, func(l *Link) [2]string { return l.ends() })
	t.drains = indexByName(&c, "drain", t.doc.Drains, func(d *Drain) string { return d.Target })

	t.evacuations = indexByName(&c, "evacuation", t.doc.Evacuations, func(e *Evacuation) string { return e.DataCentre })

	t.checkObjects(&c)
	t.checkLevels(&c)
	t.checkKeys(&c)

	return c.problems
}

// checkObjects checks the references between objects, that each service has at
// most one rollout, and that no model is served by two services.
func (t *Tree) checkObjects(c *referenceChecker) {
	for i, l := range t.doc.Links {
		for _, end := range l.Between {
			requireKnown(c, t.dataCentres, end, "data centre", "link.%d.between", i)
		}
	}

	for i, e := range t.doc.Evacuations {
		requireKnown(c, t.dataCentres, e.DataCentre, "data centre", "evacuation.%d.data_centre", i)
	}

	rolled := map[string]bool{}

	for i, r := range t.doc.WeightRollouts {
		requireKnown(c, t.services, r.Service, "service", "weight_roll.%d.service", i)

		if rolled[r.Service] {
			c.add("there is another rollout of the service "+r.Service, "weight_roll.%d.service", i)
		}

		rolled[r.Service] = true
	}

	for i, o := range t.doc.Organisations {
		for _, name := range o.Services {
			requireKnown(c, t.services, name, "service", "organisation.%d.services", i)
		}
	}

	models := map[string]string{}

	for i, s := range t.doc.Services {
		for _, model := range s.Models {
			if other, ok := models[model]; ok {
				c.add(fmt.Sprintf("the model %s is also served by %s", model, other), "service.%d.models", i)
			}

			models[model] = s.Name
		}
	}
}

// checkLevels checks that the site, service and organisation of every level are
// defined. A workload needs no definition.
func (t *Tree) checkLevels(c *referenceChecker) {
	sites := map[string]*struct{}{}
	for _, name := range t.Sites() {
		sites[name] = &struct{}{}
	}

	for site, s := range t.doc.Sites {
		requireKnown(c, sites, site, "site", "site.%s", site)

		for service, v := range s.Services {
			requireKnown(c, t.services, service, "service", "site.%s.service.%s", site, service)

			for organisation := range v.Organisations {
				requireKnown(c, t.organisations, organisation, "organisation",
					"site.%s.service.%s.organisation.%s", site, service, organisation)
			}
		}
	}
}

// checkKeys checks that no key hash occurs twice: a caller with a key of two
// organisations could be taken for either.
func (t *Tree) checkKeys(c *referenceChecker) {
	holders := map[string]string{}

	for i := range t.doc.Organisations {
		o := &t.doc.Organisations[i]
		for j, key := range o.Keys {
			if other, ok := holders[key]; ok {
				c.add("the same key hash belongs to "+other, "organisation.%d.keys.%d", i, j)
			}

			holders[key] = o.Name
		}
	}
}

// referenceChecker collects the problems of references between keys.
type referenceChecker struct {
	file     string
	text     []byte
	lines    keyLines
	problems Problems
}

// add records a problem at the key that format and args give.
func (c *referenceChecker) add(text, format string, args ...any) {
	if c.lines == nil {
		c.lines = indexKeyLines(c.text)
	}

	key := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, Problem{c.file, c.lines.line(key), key, text})
}

// indexByName returns the objects by name and records a problem for each
// duplicate name.
func indexByName[K comparable, V any](c *referenceChecker, key string, objects []V, name func(*V) K) map[K]*V {
	m := make(map[K]*V, len(objects))

	for i := range objects {
		n := name(&objects[i])
		if _, ok := m[n]; ok {
			c.add(fmt.Sprintf("%v is defined twice", n), "%s.%d", key, i)
		}

		m[n] = &objects[i]
	}

	return m
}

// requireKnown records a problem at the key that format and args give if name is
// not in m. what is the kind of object for the message.
func requireKnown[V any](c *referenceChecker, m map[string]*V, name, what, format string, args ...any) {
	if _, ok := m[name]; !ok {
		c.add(fmt.Sprintf("unknown %s %s", what, name), format, args...)
	}
}
