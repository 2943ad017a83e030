// Package engine is the stand-in of a model engine.
//
// # Model
//
// Some requests run at once, the others wait by priority. A request first pays
// for each prompt token that no cached block covers, one prefill at a time, and
// then gets its answer token by token. Whole blocks of prompt and answer stay
// cached until others push them out, least recently used first.
//
// The answer is a function of the prompt and the position (Answer), so that a
// test can tell whose answer it has and whether it is whole. A run that reads a
// block which was altered or cut on its way through a store answers something
// else.
//
//	s := engine.New(engine.Config{Model: "casemodel", WeightVersion: "v1"})
//	err := s.Serve(ctx, "127.0.0.1:7810")
package engine

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragehub/prompt"
	"boragehub/standin"
)

// Faults are the switches of an engine.
type Faults struct {
	standin.Silent
	// EventsDelayMS is how late cache events are seen, in ms.
	EventsDelayMS int64 `json:"events_delay_ms"`
	// EventsLost is the share of cache events that nobody sees.
	EventsLost float64 `json:"events_lost"`
	// LoadLagMS is how late load reports are, in ms.
	LoadLagMS int64 `json:"load_lag_ms"`
	// IgnoresFence makes the engine take orders with an old fencing number.
	IgnoresFence bool `json:"ignores_fence"`
	// CrashPrompt ends the process when a prompt contains this text; empty is none.
	CrashPrompt string `json:"crash_prompt"`
	// SlowFactor multiplies the time that work takes; 0 is 1.
	SlowFactor float64 `json:"slow_factor"`
	// EvictAll drops the whole cache, once.
	EvictAll bool `json:"evict_all"`
}

// Config configures a Server. Zero numbers take the defaults beside them.
type Config struct {
	// Model is the model's name.
	Model string
	// WeightVersion is the version loaded at the start.
	WeightVersion string
	// Adapters are loaded at the start.
	Adapters []string
	// Role is the role at the start.
	Role string
	// WeightStore is the base URL of the weight store; empty loads at once.
	WeightStore string
	// BlockTokens is the size of a block in tokens; zero is 16.
	BlockTokens int
	// BytesPerToken is the size of a cached token in bytes; zero is 256.
	BytesPerToken int
	// PrefillTokensPerSecond is the speed of prefill; zero is 20,000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the speed of one answer; zero is 200.
	DecodeTokensPerSecond float64
	// MaxRunning is how many requests run at once; zero is 16.
	MaxRunning int
	// CacheBlocks is how many blocks are cached; zero is 4,096.
	CacheBlocks int
	// KeepEvents is how many cache events are kept; zero is 10,000.
	KeepEvents int
	// Seed seeds the choice of lost events.
	Seed uint64
	// Crash is called when a prompt crashes the engine; nil ends the process.
	Crash func()
	// Faults are the switches at the start.
	Faults Faults
}

// crashStatus is the exit status of a crash.
const crashStatus = 134

// fill puts the defaults in place of zeros.
func (c *Config) fill() {
	def(&c.BlockTokens, prompt.DefaultBlockTokens)
	def(&c.BytesPerToken, 256)
	def(&c.PrefillTokensPerSecond, 20_000)
	def(&c.DecodeTokensPerSecond, 200)
	def(&c.MaxRunning, 16)
	def(&c.CacheBlocks, 4096)
	def(&c.KeepEvents, 10_000)

	if c.Crash == nil {
		c.Crash = func() { os.Exit(crashStatus) }
	}
}

func def[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

// The states of an engine.
const (
	stateReady   = "ready"
	stateLoading = "loading"
)

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	cfg     Config
	boot    string
	prefill chan struct{}
	loads   standin.Lagged[loadReport]

	mu       sync.Mutex
	rng      *rand.Rand
	version  string
	adapters []string
	role     string
	state    string
	fence    uint64
	attempt  int
	blocks   *simplelru.LRU[prompt.Hash, bool]
	evicted  []prompt.Hash
	events   []cacheEvent
	seq      uint64
	grown    chan struct{}
	queue    queue
	arrivals uint64
	running  int
	owed     int
	runs     []Run
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	cfg.fill()

	s := &Server{
		cfg:      cfg,
		boot:     uuid.NewString(),
		prefill:  make(chan struct{}, 1),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		version:  cfg.WeightVersion,
		adapters: append([]string{}, cfg.Adapters...),
		role:     cfg.Role,
		state:    stateReady,
		grown:    make(chan struct{}),
		runs:     []Run{},
	}
	// The size is positive, which is all that NewLRU asks for.
	s.blocks, _ = simplelru.NewLRU(cfg.CacheBlocks, func(h prompt.Hash, _ bool) { s.evicted = append(s.evicted, h) })
	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Changed: s.changed, Routes: s.routes})
	s.report(time.Now())

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.POST("/v1/completions").To(s.complete))
	ws.Route(ws.GET("/info").To(s.info))
	ws.Route(ws.GET("/load").To(s.load))
	ws.Route(ws.GET("/runs").To(s.listRuns))
	ws.Route(ws.GET("/events").To(s.listEvents))
	ws.Route(ws.GET("/cache/blocks").To(s.listBlocks))
	ws.Route(ws.POST("/cache/export").To(s.export))
	ws.Route(ws.POST("/cache/import").To(s.bring))
	ws.Route(ws.POST("/orders").To(s.order))
}

// Reset resets the switches that act once.
func (f *Faults) Reset() {
	f.Silent.Reset()
	f.EvictAll = false
}

// changed does what acts once.
func (s *Server) changed(f Faults) {
	if !f.EvictAll {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.clear(time.Now())
}

// Info is what the engine says about itself.
type Info struct {
	Model         string   `json:"model"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	BlockTokens   int      `json:"block_tokens"`
	BytesPerToken int      `json:"bytes_per_token"`
	Prefill       float64  `json:"prefill_tokens_per_second"`
	Decode        float64  `json:"decode_tokens_per_second"`
	MaxRunning    int      `json:"max_running"`
	CacheBlocks   int      `json:"cache_blocks"`
	HonoursFence  bool     `json:"honours_fence"`
	State         string   `json:"state"`
	BootID        string   `json:"boot_id"`
}

func (s *Server) info(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	i := Info{
		Model: s.cfg.Model, WeightVersion: s.version, Adapters: slices.Clone(s.adapters), Role: s.role,
		BlockTokens: s.cfg.BlockTokens, BytesPerToken: s.cfg.BytesPerToken,
		Prefill: s.cfg.PrefillTokensPerSecond, Decode: s.cfg.DecodeTokensPerSecond,
		MaxRunning: s.cfg.MaxRunning, CacheBlocks: s.cfg.CacheBlocks,
		HonoursFence: !s.Faults().IgnoresFence, State: s.state, BootID: s.boot,
	}
	s.mu.Unlock()
	standin.Reply(w, http.StatusOK, i)
}

// loadReport is the answer to GET /load.
type loadReport struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Owed    int   `json:"waiting_prefill_tokens"`
	Used    int   `json:"used_blocks"`
	Total   int   `json:"total_blocks"`
	AtMS    int64 `json:"at_ms"`
}

// report keeps the load as of now for later readers. The caller holds mu.
func (s *Server) report(now time.Time) {
	s.loads.Set(now, loadReport{
		Running: s.running, Waiting: len(s.queue), Owed: s.owed, Used: s.blocks.Len(), Total: s.cfg.CacheBlocks,
	})
}

func (s *Server) load(_ *restful.Request, w *restful.Response) {
	now, lag := time.Now(), standin.Millis(s.Faults().LoadLagMS)
	l, _ := s.loads.Get(now, lag)
	l.AtMS = now.Add(-lag).UnixMilli()
	standin.Reply(w, http.StatusOK, l)
}
