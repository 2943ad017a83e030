// Package vmlist is the stand-in for the platform's list of VMs.
//
// # Model
//
// Each change creates a new version of the whole list. Readers see the list with a
// configurable lag and can long-poll for a version newer than the one they have:
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

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// pollInterval is how often a long poll checks the list, because with a lag the visible
// version changes without a request that could wake the poll.
const pollInterval = 20 * time.Millisecond

// VM is one VM of the list.
type VM struct {
	// VM is its name.
	VM string `json:"vm"`
	// DataCentre is the data centre that it runs in.
	DataCentre string `json:"data_centre"`
	// Kind is "entry", "engine", "plain" or "store".
	Kind string `json:"kind"`
	// Service is the service that it offers.
	Service string `json:"service"`
	// Address is where its target or store listens, or where an entry's callers connect.
	Address string `json:"address"`
	// SideAddress is where its side process listens.
	SideAddress string `json:"side_address"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// Faults are the fault settings of the list.
type Faults struct {
	standin.ConnectionFaults
	// LagMS is the delay before readers see a change, in ms.
	LagMS int64 `json:"lag_ms"`
	// Down makes reads fail with 503.
	Down bool `json:"down"`
}

// Config configures a Server.
type Config struct {
	// VMs is the initial list, visible immediately whatever the lag.
	VMs []VM
	// Faults are the initial fault settings.
	Faults Faults
}

// list is one version of the whole list.
type list struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	history standin.Lagged[list]

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
	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, AddRoutes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/vms").To(s.getVMs))
	ws.Route(ws.PUT("/vms/{vm}").To(s.putVM))
	ws.Route(ws.DELETE("/vms/{vm}").To(s.deleteVM))
}

// publish creates a new version of the list as of now. The caller holds mu.
func (s *Server) publish(now time.Time) {
	s.version++
	l := list{Version: s.version, VMs: []VM{}}

	for _, vm := range s.vms {
		l.VMs = append(l.VMs, vm)
	}

	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].VM < l.VMs[j].VM })
	s.history.Set(now, l)
}

func (s *Server) putVM(q *restful.Request, w *restful.Response) {
	vm, ok := standin.DecodeBody[VM](w, q.Request)
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
	standin.WriteJSON(w, http.StatusOK, vm)
}

func (s *Server) deleteVM(q *restful.Request, w *restful.Response) {
	s.mu.Lock()
	delete(s.vms, q.PathParameter("vm"))
	s.publish(time.Now())
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getVMs(q *restful.Request, w *restful.Response) {
	ctx, cancel := s.LongPollContext(q.Request)
	defer cancel()

	after := standin.QueryUint(q.Request, "after", 0)

	for {
		f := s.Faults()
		if f.Down {
			standin.WriteError(w, http.StatusServiceUnavailable, "down", "the VM list is unavailable")
			return
		}

		if l, _ := s.history.Get(time.Now(), standin.Milliseconds(f.LagMS)); l.Version > after {
			standin.WriteJSON(w, http.StatusOK, l)
			return
		}

		if !pause.For(ctx, pollInterval) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}
