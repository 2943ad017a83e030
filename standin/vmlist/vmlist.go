// Package vmlist is the stand-in of the platform's list of VMs.
//
// # Model
//
// Each change makes a new version of the whole list. Readers see the list as it
// was some time ago and may wait for one that is newer than what they have:
//
//	s := vmlist.New(vmlist.Config{VMs: []vmlist.VM{{VM: "engine-1", State: vmlist.Live}}})
//	err := s.Serve(ctx, "127.0.0.1:7701")
package vmlist

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"boragehub/pause"
	"boragehub/standin"
)

// The states of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// look is how often a waiting reader looks again, since a lagging list changes
// with time alone.
const look = 20 * time.Millisecond

// VM is one VM of the list.
type VM struct {
	// VM is its name.
	VM string `json:"vm"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Kind is "entry", "engine", "plain" or "store".
	Kind string `json:"kind"`
	// Service is what it offers.
	Service string `json:"service"`
	// Address is where its target or own duty listens.
	Address string `json:"address"`
	// SideAddress is where its side process listens.
	SideAddress string `json:"side_address"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// Faults are the switches of the list.
type Faults struct {
	standin.Silent
	// LagMS is how far the list is behind, in ms.
	LagMS int64 `json:"lag_ms"`
	// Down answers reads with 503.
	Down bool `json:"down"`
}

// Config configures a Server.
type Config struct {
	// VMs are in the list at the start, seen without lag.
	VMs []VM
	// Faults are the switches at the start.
	Faults Faults
}

// list is one version of the whole list.
type list struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	seen standin.Lagged[list]

	mu      sync.Mutex
	version uint64
	vms     map[string]VM
}

// New returns a Server with the VMs of cfg.
func New(cfg Config) *Server {
	s := &Server{vms: map[string]VM{}}
	for _, vm := range cfg.VMs {
		s.vms[vm.VM] = vm
	}

	s.publish(time.Time{})
	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Routes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/vms").To(s.read))
	ws.Route(ws.PUT("/vms/{vm}").To(s.put))
	ws.Route(ws.DELETE("/vms/{vm}").To(s.remove))
}

// publish makes a new version of the list as of now. The caller holds mu.
func (s *Server) publish(now time.Time) {
	s.version++
	l := list{Version: s.version, VMs: []VM{}}

	for _, vm := range s.vms {
		l.VMs = append(l.VMs, vm)
	}

	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].VM < l.VMs[j].VM })
	s.seen.Set(now, l)
}

func (s *Server) put(q *restful.Request, w *restful.Response) {
	vm, ok := standin.Decode[VM](w, q.Request)
	if !ok {
		return
	}

	vm.VM = q.PathParameter("vm")
	if vm.State == "" {
		vm.State = Live
	}

	s.mu.Lock()
	s.vms[vm.VM] = vm
	s.publish(time.Now())
	s.mu.Unlock()
	standin.Reply(w, http.StatusOK, vm)
}

func (s *Server) remove(q *restful.Request, w *restful.Response) {
	s.mu.Lock()
	delete(s.vms, q.PathParameter("vm"))
	s.publish(time.Now())
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) read(q *restful.Request, w *restful.Response) {
	ctx, cancel := s.Wait(q.Request)
	defer cancel()

	after := standin.Number(q.Request, "after", 0)

	for {
		f := s.Faults()
		if f.Down {
			standin.Fail(w, http.StatusServiceUnavailable, "down", "the VM list is down")
			return
		}

		if l, _ := s.seen.Get(time.Now(), standin.Millis(f.LagMS)); l.Version > after {
			standin.Reply(w, http.StatusOK, l)
			return
		}

		if !pause.For(ctx, look) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}
