package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"boragehub/prompt"
)

// blockTokens is the length of a block in the model; longer than an engine's,
// to keep the chains of many long contexts in memory.
const blockTokens = 64

// conversation is a context over all its visits.
type conversation struct {
	id           int
	workload     int
	organisation int
	anchor       prompt.Hash
	chain        prompt.Chain
	visits       []visit
	// computed is how many of its tokens were ever computed.
	computed int
	// seen and seenAt are the visits that arrived so far and when the last did.
	seen   int
	seenAt time.Duration
}

// visit is one request of a conversation.
type visit struct {
	c      *conversation
	index  int
	at     time.Duration
	entry  int
	prompt int
	answer int
	seed   uint64
}

// next returns when the conversation returns after its visit i, and whether it does.
func (c *conversation) next(i int) (time.Duration, bool) {
	if i+1 >= len(c.visits) {
		return 0, false
	}

	return c.visits[i+1].at, true
}

// chainTo returns the chain of the first tokens of c.
func (c *conversation) chainTo(tokens int) prompt.Chain {
	n := tokens / blockTokens

	for len(c.chain) < n {
		h := xxh3.HashString128("block " + strconv.Itoa(c.id) + " " + strconv.Itoa(len(c.chain)))
		c.chain = append(c.chain, prompt.Hash(h.Bytes()))
	}

	return c.chain[:n]
}

// generator draws the load of one run.
type generator struct {
	d    Deployment
	rng  *rand.Rand
	end  time.Duration
	all  []*conversation
	rate float64
}

// spread is the standard deviation of the logarithms of gaps and lengths.
const spread = 0.5

// past is how many gaps before the start conversations may have begun, so that
// the run starts among conversations of all ages.
const past = 20

// generate returns all conversations with a visit between 0 and end, at rate
// requests a second, and their visits in order of time.
func generate(d Deployment, seed uint64, rate float64, end time.Duration, burst *burst) ([]*conversation, []*visit) {
	g := &generator{d: d, rng: rand.New(rand.NewPCG(seed, 1)), end: end, rate: rate}

	for w := range d.Workloads {
		g.workload(w, 1, -past*d.Workloads[w].Gap, end, -1)
	}

	if burst != nil {
		for w := range d.Workloads {
			g.workload(w, d.Organisations[burst.organisation]*(burst.times-1), burst.from, burst.to, burst.organisation)
		}
	}

	return g.all, g.sorted()
}

// burst is an organisation that sends several times its usual load.
type burst struct {
	organisation int
	times        float64
	from, to     time.Duration
}

// workload draws the conversations of workload w that begin between two times,
// for one organisation or, with -1, for all by their part.
func (g *generator) workload(w int, part float64, from, to time.Duration, organisation int) {
	spec := &g.d.Workloads[w]
	each := spec.Visits / (g.rate * spec.Part * part)

	if organisation >= 0 {
		// A burst is short against the gaps: all its requests are first visits.
		each /= spec.Visits
	}

	for at := from; at < to; {
		at += time.Duration(g.rng.ExpFloat64() * each * float64(time.Second))

		o := organisation
		if o < 0 {
			o = g.pick(g.d.Organisations)
		}

		g.conversation(w, o, at, to)
	}
}

func (g *generator) conversation(w, organisation int, at, to time.Duration) {
	spec := &g.d.Workloads[w]
	c := &conversation{id: len(g.all), workload: w, organisation: organisation}
	id := xxh3.HashString128("context " + strconv.Itoa(c.id))
	c.anchor = prompt.Hash(id.Bytes())
	length := g.about(float64(spec.Opening))

	for {
		v := visit{c: c, index: len(c.visits), at: at, prompt: length, answer: g.about(float64(spec.Answer))}
		v.entry = g.rng.IntN(len(g.d.DataCentres) * g.d.EntriesEach)
		v.seed = g.rng.Uint64()
		length += v.answer + g.about(float64(spec.Added))

		switch {
		case at >= to:
		case at >= 0:
			c.visits = append(c.visits, v)
		default:
			c.computed = v.prompt + v.answer
			c.seen++
			c.seenAt = at
		}

		at += time.Duration(g.about(float64(spec.Gap)))

		if at >= to || g.rng.Float64() < 1/spec.Visits {
			break
		}
	}

	if len(c.visits) > 0 {
		g.all = append(g.all, c)
	}
}

func (g *generator) about(median float64) int { return about(g.rng, median, spread) }

// about draws a positive number around median, with the given standard deviation
// of its logarithm.
func about(rng *rand.Rand, median, deviation float64) int {
	return int(math.Ceil(median * math.Exp(deviation*rng.NormFloat64())))
}

func (g *generator) pick(parts []float64) int {
	x := g.rng.Float64()

	for i, p := range parts {
		x -= p
		if x < 0 {
			return i
		}
	}

	return len(parts) - 1
}

func (g *generator) sorted() []*visit {
	var all []*visit

	for _, c := range g.all {
		for i := range c.visits {
			all = append(all, &c.visits[i])
		}
	}

	sort.Slice(all, func(i, j int) bool {
		if all[i].at != all[j].at {
			return all[i].at < all[j].at
		}

		return all[i].c.id < all[j].c.id
	})

	return all
}
