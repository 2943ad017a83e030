package drain

import (
	"net/http"
	"strconv"
)

// answer answers one request and tells its caller how long its connection is of use.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	m := &marked{ResponseWriter: w, server: s}
	s.cfg.Handler.ServeHTTP(m, r)
	m.mark()
}

// marked is an answer whose head says how long its connection is of use. It is marked as
// late as possible: a request that was being worked on as the stop began is told as well.
type marked struct {
	http.ResponseWriter

	server *Server
	done   bool
}

func (m *marked) mark() {
	if m.done {
		return
	}

	m.done = true
	h := m.Header()

	switch {
	case m.server.leaving.Load():
		h.Set("Connection", "close")
	case m.server.cfg.KeepAlive > 0 && h.Get("Connection") == "":
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(m.server.cfg.KeepAlive.Seconds())))
	}
}

// WriteHeader marks the answer and sends its head.
func (m *marked) WriteHeader(status int) {
	m.mark()
	m.ResponseWriter.WriteHeader(status)
}

// Write marks the answer and sends a part of its body.
func (m *marked) Write(b []byte) (int, error) {
	m.mark()

	return m.ResponseWriter.Write(b)
}

// Unwrap returns the writer below, for http.ResponseController.
func (m *marked) Unwrap() http.ResponseWriter { return m.ResponseWriter }
