package drain

import (
	"net/http"
	"strconv"
)

// serveHTTP serves one request; its response announces how long the connection may be reused.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	complete := beginResponse(r)
	kw := &keepAliveWriter{ResponseWriter: w, server: s}
	s.cfg.Handler.ServeHTTP(kw, r)
	kw.setHeaders()
	complete()
}

// keepAliveWriter adds the header that announces how long the connection may be reused. It
// does so as late as possible, so that a request that is being served when the drain begins
// gets the announcement of the close as well.
type keepAliveWriter struct {
	http.ResponseWriter

	server     *Server
	headersSet bool
}

func (w *keepAliveWriter) setHeaders() {
	if w.headersSet {
		return
	}

	w.headersSet = true
	h := w.Header()

	switch {
	case w.server.draining.Load():
		h.Set("Connection", "close")
	case w.server.cfg.KeepAlive > 0 && h.Get("Connection") == "":
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(w.server.cfg.KeepAlive.Seconds())))
	}
}

// WriteHeader adds the announcement and sends the header.
func (w *keepAliveWriter) WriteHeader(status int) {
	w.setHeaders()
	w.ResponseWriter.WriteHeader(status)
}

// Write adds the announcement and sends part of the body.
func (w *keepAliveWriter) Write(b []byte) (int, error) {
	w.setHeaders()

	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
