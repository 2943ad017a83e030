package publication

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/journal"
	"boragehub/setting"
)

var errUnresponsive = errors.New("the process is unresponsive")

// blockingLog is a fakeLog whose reads wait for records, as the real ones do.
type blockingLog struct {
	*fakeLog
	reads atomic.Int64
}

func (l *blockingLog) Read(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (journal.Batch, error) {
	l.reads.Add(1)

	for until := time.Now().Add(wait); ; {
		b, err := l.fakeLog.Read(ctx, s, from, limit, 0)
		if err != nil || len(b.Records) > 0 || ctx.Err() != nil || !time.Now().Before(until) {
			return b, err
		}

		time.Sleep(20 * time.Millisecond)
	}
}

// testDataCentre runs the processes of a data centre, which exchange messages in
// memory.
type testDataCentre struct {
	mu          sync.Mutex
	members     []Member
	followers   map[string]*Follower
	stops       map[string]context.CancelFunc
	dead        map[string]bool
	activatedAt map[string]time.Time
	// sentBytes is the number of bytes that each process sent, and requestCounts
	// the number of requests that it received.
	sentBytes     map[string]int
	requestCounts map[string]int
}

const (
	networkDelay = time.Millisecond
	// frameBytes is the approximate overhead of a request or response on the wire:
	// QUIC, UDP and IP headers, frame and acknowledgement.
	frameBytes = 120
)

// peerLink connects the process self to the others; it implements Peers.
type peerLink struct {
	dc   *testDataCentre
	self string
}

// follower returns the follower of a live process. For a dead one it fails when
// ctx ends.
func (l peerLink) follower(ctx context.Context, vm string) (*Follower, error) {
	l.dc.mu.Lock()
	f, dead := l.dc.followers[vm], l.dc.dead[vm] || l.dc.dead[l.self]
	l.dc.mu.Unlock()

	if dead || f == nil {
		<-ctx.Done()

		return nil, errUnresponsive
	}

	time.Sleep(networkDelay)

	return f, nil
}

func (l peerLink) count(vm string, bytes int) {
	l.dc.mu.Lock()
	defer l.dc.mu.Unlock()

	l.dc.sentBytes[l.self] += frameBytes
	l.dc.sentBytes[vm] += frameBytes + bytes
	l.dc.requestCounts[vm]++
}

func (l peerLink) Fetch(ctx context.Context, vm string, after uint64) (Update, error) {
	f, err := l.follower(ctx, vm)
	if err != nil {
		return Update{}, err
	}

	b := f.UpdateFor(time.Now(), l.self, after).Encode()
	l.count(vm, len(b))

	return DecodeUpdate(b)
}

func (l peerLink) Push(ctx context.Context, vm string, u Update) error {
	f, err := l.follower(ctx, vm)
	if err != nil {
		return err
	}

	l.count(l.self, len(u.Encode()))

	return f.ApplyUpdate(u)
}

func newTestDataCentre(n int) *testDataCentre {
	d := &testDataCentre{
		followers: map[string]*Follower{}, stops: map[string]context.CancelFunc{}, dead: map[string]bool{},
		activatedAt: map[string]time.Time{}, sentBytes: map[string]int{}, requestCounts: map[string]int{},
	}
	for i := range n {
		d.members = append(d.members, Member{fmt.Sprintf("vm-%d", i), "a"})
	}

	return d
}

// start starts a process that knows all others.
func (d *testDataCentre) start(ctx context.Context, log Log, m Member) {
	ctx, stop := context.WithCancel(ctx)

	f := NewFollower(FollowerConfig{
		Log: log, Self: m, Members: func() []Member { return d.members }, Peers: peerLink{d, m.VM}, Logger: logr.Discard(),
		OnChange: func(*Published) {
			d.mu.Lock()
			defer d.mu.Unlock()

			d.activatedAt[m.VM] = time.Now()
		},
	})

	d.mu.Lock()
	d.followers[m.VM] = f
	d.stops[m.VM] = stop
	d.mu.Unlock()

	go f.Run(ctx)
}

// kill makes a process unresponsive at once.
func (d *testDataCentre) kill(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.dead[vm] = true
	d.stops[vm]()
}

// stop ends all processes and waits for them. In a synctest bubble, time only
// advances while the test waits.
func (d *testDataCentre) stop() {
	for _, m := range d.members {
		d.kill(m.VM)
	}

	time.Sleep(DefaultLogWait + DefaultPullInterval)
}

// resetCounts resets the counts.
func (d *testDataCentre) resetCounts() {
	d.mu.Lock()
	defer d.mu.Unlock()

	clear(d.sentBytes)
	clear(d.requestCounts)
}

// maxLoad returns the most bytes that one process sent, and the most requests that
// one received.
func (d *testDataCentre) maxLoad() (sent, requests int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for vm, n := range d.sentBytes {
		sent = max(sent, n)
		requests = max(requests, d.requestCounts[vm])
	}

	return sent, requests
}

// slowestActivation returns the longest time from since until version was in force,
// over all live processes, and the number of those that lack it.
func (d *testDataCentre) slowestActivation(since time.Time, version uint64) (time.Duration, int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	var (
		longest time.Duration
		missing int
	)

	for vm, f := range d.followers {
		if d.dead[vm] {
			continue
		}

		if p := f.Current(); p == nil || p.Version() != version {
			missing++

			continue
		}

		longest = max(longest, d.activatedAt[vm].Sub(since))
	}

	return longest, missing
}

// Some of the processes that others poll die just before a change, log readers
// among them. The processes that polled them must find other sources; otherwise
// entries go on with the old limits. The test runs the Followers of the largest data
// centre expected in two years, in virtual time.
func TestChangeReachesAllWhenProcessesDie(t *testing.T) {
	const (
		processCount = 193 // (420 entries + 1,700 side processes) / 11 data centres
		maxDelay     = 8 * time.Second
		// settleTime is long enough for each process to find a source.
		settleTime = 16 * time.Second
		// maxSendRate is the maximum number of bytes that a process may send per
		// second: half of the budget for all control traffic.
		maxSendRate = 1000
	)

	cases := []struct {
		name string
		dead int
		// atChange is true if they die at the moment of the change.
		atChange bool
		// randomStart is true if the processes start in any order, so that many find
		// their sources not up yet.
		randomStart bool
	}{
		{"all live", 0, false, false},
		{"all live after a start in random order", 0, false, true},
		{"a third dead before the change", 64, false, false},
		{"a rack dies at the change", 19, true, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, uint64(c.dead)))
				dc := newTestDataCentre(processCount)
				defer dc.stop()

				log := &blockingLog{fakeLog: newFakeLog()}

				first, err := publishText(log.fakeLog, "one", 0, []byte("share = 1.0\n"))
				if err != nil {
					t.Fatal(err)
				}

				if !c.randomStart {
					slices.SortFunc(dc.members, func(a, b Member) int { return compareHash(a.VM, b.VM) })
				}

				for _, m := range dc.members {
					dc.start(t.Context(), log, m)
					time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
				}

				time.Sleep(settleTime)

				if c.randomStart {
					time.Sleep(sourceBackoff)
				}

				if _, missing := dc.slowestActivation(time.Now(), first); missing > 0 {
					t.Fatalf("%d processes lack the first version", missing)
				}

				// The first log reader always dies, the others are chosen at random.
				order := rankedMembers(dc.members[0], dc.members)
				rng.Shuffle(len(order)-1, func(i, j int) { order[i+1], order[j+1] = order[j+1], order[i+1] })

				for _, vm := range order[:c.dead] {
					dc.kill(vm)
				}

				if !c.atChange {
					time.Sleep(settleTime)
				}

				dc.resetCounts()
				log.reads.Store(0)

				since := time.Now()

				second, err := publishText(log.fakeLog, "two", first, []byte("share = 2.0\n"))
				if err != nil {
					t.Fatal(err)
				}

				time.Sleep(maxDelay)
				synctest.Wait()

				longest, missing := dc.slowestActivation(since, second)
				if missing > 0 || longest > maxDelay {
					t.Errorf("got %d processes without the change and %v for the slowest, want all within %v", missing, longest, maxDelay)
				}

				sent, requests := dc.maxLoad()
				if sent > maxSendRate*int(maxDelay.Seconds()) {
					t.Errorf("the busiest process sent %d B in %v, want at most %d B/s", sent, maxDelay, maxSendRate)
				}

				t.Logf("slowest %v; maximum per process: %d B sent and %d requests received in %v; the log was read %d times",
					longest, sent, requests, maxDelay, log.reads.Load())
			})
		})
	}
}

// The log is down, and every process of a data centre is replaced, one after the
// other. Each replacement must get the version from a peer, even after the last
// process that had read it from the log is gone.
func TestReplacedProcessesGetVersionFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestDataCentre(30)
		defer dc.stop()

		log := &blockingLog{fakeLog: newFakeLog()}

		version, err := publishText(log.fakeLog, "one", 0, []byte("share = 1.0\n"))
		if err != nil {
			t.Fatal(err)
		}

		for _, m := range dc.members {
			dc.start(t.Context(), log, m)
		}

		time.Sleep(time.Minute)

		log.mu.Lock()
		log.down = true
		log.mu.Unlock()

		for _, m := range dc.members {
			dc.kill(m.VM)
			time.Sleep(10 * time.Second)

			dc.mu.Lock()
			delete(dc.dead, m.VM)
			dc.mu.Unlock()
			dc.start(t.Context(), log, m)
			time.Sleep(30 * time.Second)

			if f := dc.followers[m.VM]; !f.Ready() || f.Current().Version() != version {
				t.Fatalf("%s: not ready after its replacement", m.VM)
			}
		}
	})
}

// The member lists of processes differ for a while. If two processes polled each
// other, neither would learn of a change.
func TestNoPollingCycles(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	all := newTestDataCentre(60).members

	for range 200 {
		sourcesOf := map[string][]string{}

		for _, m := range all {
			view := slices.DeleteFunc(slices.Clone(all), func(Member) bool { return rng.IntN(4) == 0 })

			a := PlanSources(m, view)
			if a.ReadsLog {
				continue // its sources matter only while the log is down
			}

			sourcesOf[m.VM] = a.Sources
		}

		for vm, sources := range sourcesOf {
			for _, source := range sources {
				if compareHash(source, vm) >= 0 {
					t.Fatalf("%s polls %s, which has a higher rank", vm, source)
				}
			}
		}
	}
}

// organisationTree returns the text of a tree of n organisations with one override
// each.
func organisationTree(n int) []byte {
	b := []byte("[[data_centre]]\nname = \"a\"\nsite = \"s\"\nregion = \"r\"\n\n[[service]]\nname = \"llm\"\nkind = \"engine\"\n\n")
	for i := range n {
		hash := setting.HashOf(fmt.Append(nil, i))
		b = fmt.Appendf(b, "[[organisation]]\nname = \"organisation-%d\"\nkeys = [\"sha256:%s\"]\n\n", i, hash)
	}

	for i := range n {
		b = fmt.Appendf(b, "[site.s.service.llm.organisation.organisation-%d]\nshare = %d.0\nrequests_per_second = 20.0\n\n", i, i%9+1)
	}

	return b
}

// BenchmarkChange applies and parses a change of one organisation, in trees of three
// sizes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		base := organisationTree(n)
		changed := slices.Clone(base)
		changed[bytes.LastIndex(changed, []byte("20.0"))] = '3'

		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()

			c := newContent(base, changed)
			hash := setting.HashOf(changed)
			compressed := len(compress(base))
			heap := heapBytes(base)

			tree, err := setting.Parse("settings", base)
			if err != nil {
				b.Fatal(err)
			}

			for b.Loop() {
				text, err := c.text(base, hash[:])
				if err != nil {
					b.Fatal(err)
				}

				if _, err := tree.ParseUpdate("settings", text); err != nil {
					b.Fatal(err)
				}
			}

			b.ReportMetric(float64(heap), "held_bytes")
			b.ReportMetric(float64(len(base)), "text_bytes")
			b.ReportMetric(float64(compressed), "whole_bytes")
			b.ReportMetric(float64(len(encode(c))), "change_bytes")
		})
	}
}

// heapBytes returns the approximate heap size of the tree of text.
func heapBytes(text []byte) uint64 {
	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	tree, err := setting.Parse("settings", text)
	if err != nil {
		return 0
	}

	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(tree)

	return after.HeapAlloc - before.HeapAlloc
}

// Parsing a tree of 10,000 organisations takes a while. If a process distributed a
// version only afterwards, the parsing times of all processes on the way would add
// up.
func TestVersionIsDistributedDuringParsing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		release := make(chan struct{})

		f := NewFollower(FollowerConfig{
			Log: log, Self: Member{"e1", "a"}, Logger: logr.Discard(), OnChange: func(*Published) { <-release },
		})

		version, err := publishText(log, "one", 0, []byte("share = 1.0\n"))
		if err != nil {
			t.Fatal(err)
		}

		done := make(chan error)
		go func() { done <- f.readLog(t.Context(), 0) }()

		synctest.Wait()

		if got, want := f.UpdateFor(time.Now(), "e2", 0).Version(), version; got != want {
			t.Errorf("got version %d, want %d", got, want)
		}

		if got, want := f.newVersion.Len(), 1; got != want {
			t.Errorf("versions announced to subscribers: got %d, want %d", got, want)
		}

		close(release)

		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
