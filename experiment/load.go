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

// blockTokens is the number of tokens in a block. Blocks are longer than an engine's, to
// save memory for the block hashes of many long contexts.
const blockTokens = 64

// conversation is a context that grows with each of its visits.
type conversation struct {
	id           int
	workload     int
	organisation int
	anchor       prompt.Hash
	blocks       prompt.Chain
	visits       []visit
	// computedTokens is the number of leading tokens that any engine ever computed.
	computedTokens int
	// visitCount is the number of visits that have arrived so far, and lastVisit the
	// arrival time of the last one.
	visitCount int
	lastVisit  time.Duration
}

// visit is one request of a conversation.
type visit struct {
	c            *conversation
	index        int
	at           time.Duration
	entry        int
	promptTokens int
	answerTokens int
	seed         uint64
}

// nextVisit returns the time of the visit after visit i, and false if i is the last one.
func (c *conversation) nextVisit(i int) (time.Duration, bool) {
	if i+1 >= len(c.visits) {
		return 0, false
	}

	return c.visits[i+1].at, true
}

// blockHashes returns the hashes of the complete blocks in the first tokens of c.
func (c *conversation) blockHashes(tokens int) prompt.Chain {
	n := tokens / blockTokens

	for len(c.blocks) < n {
		h := xxh3.HashString128("block " + strconv.Itoa(c.id) + " " + strconv.Itoa(len(c.blocks)))
		c.blocks = append(c.blocks, prompt.Hash(h.Bytes()))
	}

	return c.blocks[:n]
}

// generator generates the load of one run.
type generator struct {
	d             Deployment
	rng           *rand.Rand
	end           time.Duration
	conversations []*conversation
	rate          float64
}

// logSigma is the standard deviation of the logarithm of gaps and lengths.
const logSigma = 0.5

// pastGaps is how far before time zero conversations may begin, in median gaps, so that a
// run starts with conversations of all ages.
const pastGaps = 20

// generate returns all conversations with a visit between 0 and end, at rate requests per
// second, and their visits in the order of time. A nil burst adds nothing.
func generate(d Deployment, seed uint64, rate float64, end time.Duration, burst *burst) ([]*conversation, []*visit) {
	g := &generator{d: d, rng: rand.New(rand.NewPCG(seed, 1)), end: end, rate: rate}

	for w := range d.Workloads {
		g.addWorkload(w, 1, -pastGaps*d.Workloads[w].Gap, end, -1)
	}

	if burst != nil {
		for w := range d.Workloads {
			g.addWorkload(w, d.OrganisationShares[burst.organisation]*(burst.factor-1), burst.from, burst.to, burst.organisation)
		}
	}

	return g.conversations, g.visitsByTime()
}

// burst makes an organisation send factor times its usual load for a time.
type burst struct {
	organisation int
	factor       float64
	from, to     time.Duration
}

// addWorkload adds the conversations of workload w that begin between two times, at share
// times the rate of the workload. They belong to the given organisation or, if it is -1, to
// organisations drawn by their shares.
func (g *generator) addWorkload(w int, share float64, from, to time.Duration, organisation int) {
	spec := &g.d.Workloads[w]
	meanInterval := spec.Visits / (g.rate * spec.Share * share)

	if organisation >= 0 {
		// A burst is short compared with the gaps, so that almost all its requests are
		// first visits.
		meanInterval /= spec.Visits
	}

	for at := from; at < to; {
		at += time.Duration(g.rng.ExpFloat64() * meanInterval * float64(time.Second))

		o := organisation
		if o < 0 {
			o = g.pickIndex(g.d.OrganisationShares)
		}

		g.addConversation(w, o, at, to)
	}
}

func (g *generator) addConversation(w, organisation int, at, to time.Duration) {
	spec := &g.d.Workloads[w]
	c := &conversation{id: len(g.conversations), workload: w, organisation: organisation}
	id := xxh3.HashString128("context " + strconv.Itoa(c.id))
	c.anchor = prompt.Hash(id.Bytes())
	length := g.logNormal(float64(spec.FirstPromptTokens))

	for {
		v := visit{c: c, index: len(c.visits), at: at, promptTokens: length, answerTokens: g.logNormal(float64(spec.AnswerTokens))}
		v.entry = g.rng.IntN(len(g.d.DataCentres) * g.d.EntriesPerDataCentre)
		v.seed = g.rng.Uint64()
		length += v.answerTokens + g.logNormal(float64(spec.AddedTokens))

		switch {
		case at >= to:
		case at >= 0:
			c.visits = append(c.visits, v)
		default:
			c.computedTokens = v.promptTokens + v.answerTokens
			c.visitCount++
			c.lastVisit = at
		}

		at += time.Duration(g.logNormal(float64(spec.Gap)))

		if at >= to || g.rng.Float64() < 1/spec.Visits {
			break
		}
	}

	if len(c.visits) > 0 {
		g.conversations = append(g.conversations, c)
	}
}

func (g *generator) logNormal(median float64) int { return logNormal(g.rng, median, logSigma) }

// logNormal draws a log-normal number with the given median and standard deviation of its
// logarithm, rounded up.
func logNormal(rng *rand.Rand, median, sigma float64) int {
	return int(math.Ceil(median * math.Exp(sigma*rng.NormFloat64())))
}

func (g *generator) pickIndex(shares []float64) int {
	x := g.rng.Float64()

	for i, share := range shares {
		x -= share
		if x < 0 {
			return i
		}
	}

	return len(shares) - 1
}

func (g *generator) visitsByTime() []*visit {
	var visits []*visit

	for _, c := range g.conversations {
		for i := range c.visits {
			visits = append(visits, &c.visits[i])
		}
	}

	sort.Slice(visits, func(i, j int) bool {
		if visits[i].at != visits[j].at {
			return visits[i].at < visits[j].at
		}

		return visits[i].c.id < visits[j].c.id
	})

	return visits
}
