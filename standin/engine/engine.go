// Package engine is the stand-in for a model engine.
//
// # Model
//
// Up to MaxRunning requests run concurrently; the others wait, ordered by priority. A request
// first spends time on each prompt token that no cached block covers, one prefill at a time,
// and then its completion is generated token by token. Complete blocks of prompt and
// completion are cached and evicted least recently used first.
//
// The completion is a function of the prompt and the position (CompletionText), so that a test
// can tell which prompt a completion belongs to and whether it is complete. A run that uses a
// block altered or truncated on its way through a store gives a different completion.
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

// Faults are the fault settings of an engine.
type Faults struct {
	standin.ConnectionFaults
	standin.SignalFaults
	standin.FramingFaults
	// EventsDelayMS is the delay before cache events are visible, in ms.
	EventsDelayMS int64 `json:"events_delay_ms"`
	// EventsLost is the fraction of cache events that are never visible.
	EventsLost float64 `json:"events_lost"`
	// LoadLagMS is the delay of load reports, in ms.
	LoadLagMS int64 `json:"load_lag_ms"`
	// IgnoresFence makes the engine accept orders with a stale fencing number.
	IgnoresFence bool `json:"ignores_fence"`
	// CrashPrompt ends the process when a prompt contains this text; empty disables it.
	CrashPrompt string `json:"crash_prompt"`
	// SlowFactor multiplies the time for prefill and decode; 0 is 1.
	SlowFactor float64 `json:"slow_factor"`
	// EvictAll clears the cache, once.
	EvictAll bool `json:"evict_all"`
}

// Config configures a Server. Zero numbers select the defaults given below.
type Config struct {
	// Model is the name of the model.
	Model string
	// WeightVersion is the version loaded initially.
	WeightVersion string
	// Adapters are the adapters loaded initially.
	Adapters []string
	// Role is the initial role.
	Role string
	// WeightStore is the base URL of the weight store; if empty, loads complete at once.
	WeightStore string
	// BlockTokens is the size of a block in tokens; zero is 16.
	BlockTokens int
	// BytesPerToken is the size of a cached token in bytes; zero is 256.
	BytesPerToken int
	// PrefillTokensPerSecond is the speed of prefill; zero is 20,000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the decode speed of one request; zero is 200.
	DecodeTokensPerSecond float64
	// MaxRunning is how many requests run concurrently; zero is 16.
	MaxRunning int
	// CacheBlocks is the capacity of the cache in blocks; zero is 4,096.
	CacheBlocks int
	// MaxEvents is how many cache events are retained; zero is 10,000.
	MaxEvents int
	// Seed seeds the choice of lost events.
	Seed uint64
	// Crash is called when a prompt crashes the engine; nil ends the process.
	Crash func()
	// Faults are the initial fault settings.
	Faults Faults
}

// crashStatus is the exit status of a simulated crash.
const crashStatus = 134

// setDefaults replaces zero values with defaults.
func (c *Config) setDefaults() {
	setDefault(&c.BlockTokens, prompt.DefaultBlockTokens)
	setDefault(&c.BytesPerToken, 256)
	setDefault(&c.PrefillTokensPerSecond, 20_000)
	setDefault(&c.DecodeTokensPerSecond, 200)
	setDefault(&c.MaxRunning, 16)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.MaxEvents, 10_000)

	if c.Crash == nil {
		c.Crash = func() { os.Exit(crashStatus) }
	}
}

func setDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

// States of an engine.
const (
	stateReady   = "ready"
	stateLoading = "loading"
)

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	cfg         Config
	bootID      string
	prefillSlot chan struct{}
	loadHistory standin.Lagged[loadReport]

	mu                   sync.Mutex
	rng                  *rand.Rand
	version              string
	adapters             []string
	role                 string
	state                string
	highestFence         uint64
	loadGeneration       int
	blocks               *simplelru.LRU[prompt.Hash, bool]
	evicted              []prompt.Hash
	events               []cacheEvent
	lastSeq              uint64
	eventAdded           chan struct{}
	waiting              waitQueue
	arrivals             uint64
	running              int
	waitingPrefillTokens int
	runs                 []Run
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	cfg.setDefaults()

	s := &Server{
		cfg:         cfg,
		bootID:      uuid.NewString(),
		prefillSlot: make(chan struct{}, 1),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		version:     cfg.WeightVersion,
		adapters:    append([]string{}, cfg.Adapters...),
		role:        cfg.Role,
		state:       stateReady,
		eventAdded:  make(chan struct{}),
		runs:        []Run{},
	}
	// NewLRU only fails for a size below 1; setDefaults has replaced zero.
	s.blocks, _ = simplelru.NewLRU(cfg.CacheBlocks, func(h prompt.Hash, _ bool) { s.evicted = append(s.evicted, h) })
	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, OnFaultsPosted: s.applyFaults, AddRoutes: s.routes, IsWork: isCompletion})
	s.recordLoad(time.Now())

	return s
}

func isCompletion(r *http.Request) bool { return r.URL.Path == "/v1/completions" }

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.POST("/v1/completions").To(s.postCompletions))
	ws.Route(ws.GET("/info").To(s.getInfo))
	ws.Route(ws.GET("/load").To(s.getLoad))
	ws.Route(ws.GET("/runs").To(s.listRuns))
	ws.Route(ws.GET("/events").To(s.listEvents))
	ws.Route(ws.GET("/cache/blocks").To(s.listBlocks))
	ws.Route(ws.POST("/cache/export").To(s.exportBlocks))
	ws.Route(ws.POST("/cache/import").To(s.importBlocks))
	ws.Route(ws.POST("/orders").To(s.postOrder))
}

// Reset clears the one-shot faults.
func (f *Faults) Reset() {
	f.ConnectionFaults.Reset()
	f.EvictAll = false
}

// applyFaults applies the one-shot fault EvictAll.
func (s *Server) applyFaults(f Faults) {
	if !f.EvictAll {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.clearCache(time.Now())
}

// Info is the response to GET /info.
type Info struct {
	Model                  string   `json:"model"`
	WeightVersion          string   `json:"weight_version"`
	Adapters               []string `json:"adapters"`
	Role                   string   `json:"role"`
	BlockTokens            int      `json:"block_tokens"`
	BytesPerToken          int      `json:"bytes_per_token"`
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64  `json:"decode_tokens_per_second"`
	MaxRunning             int      `json:"max_running"`
	CacheBlocks            int      `json:"cache_blocks"`
	HonoursFence           bool     `json:"honours_fence"`
	State                  string   `json:"state"`
	BootID                 string   `json:"boot_id"`
}

func (s *Server) getInfo(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	i := Info{
		Model: s.cfg.Model, WeightVersion: s.version, Adapters: slices.Clone(s.adapters), Role: s.role,
		BlockTokens: s.cfg.BlockTokens, BytesPerToken: s.cfg.BytesPerToken,
		PrefillTokensPerSecond: s.cfg.PrefillTokensPerSecond, DecodeTokensPerSecond: s.cfg.DecodeTokensPerSecond,
		MaxRunning: s.cfg.MaxRunning, CacheBlocks: s.cfg.CacheBlocks,
		HonoursFence: !s.Faults().IgnoresFence, State: s.state, BootID: s.bootID,
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, i)
}

// loadReport is the response to GET /load.
type loadReport struct {
	Running              int   `json:"running"`
	Waiting              int   `json:"waiting"`
	WaitingPrefillTokens int   `json:"waiting_prefill_tokens"`
	UsedBlocks           int   `json:"used_blocks"`
	TotalBlocks          int   `json:"total_blocks"`
	AtMS                 int64 `json:"at_ms"`
}

// recordLoad records the load as of now for later reports. The caller holds mu.
func (s *Server) recordLoad(now time.Time) {
	s.loadHistory.Set(now, loadReport{
		Running: s.running, Waiting: len(s.waiting), WaitingPrefillTokens: s.waitingPrefillTokens, UsedBlocks: s.blocks.Len(), TotalBlocks: s.cfg.CacheBlocks,
	})
}

func (s *Server) getLoad(_ *restful.Request, w *restful.Response) {
	now, lag := time.Now(), standin.Milliseconds(s.Faults().LoadLagMS)
	l, _ := s.loadHistory.Get(now, lag)
	l.AtMS = now.Add(-lag).UnixMilli()
	standin.WriteJSON(w, http.StatusOK, l)
}
