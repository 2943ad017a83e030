package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	defaultStopTimeout = 30 * time.Second
	headerTimeout      = 10 * time.Second
)

// Serve listens on addr and serves until ctx ends, then lets open requests
// finish.
func (h *Host[F]) Serve(ctx context.Context, addr string) error {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}

	return h.ServeListener(ctx, l)
}

// ServeListener is Serve on a listener, which it closes.
func (h *Host[F]) ServeListener(ctx context.Context, l net.Listener) error {
	srv := &http.Server{
		Handler:           h.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       h.silence.connContext,
	}
	srv.RegisterOnShutdown(func() { h.stop.Do(func() { close(h.stopping) }) })

	h.mu.Lock()
	h.server = srv
	h.mu.Unlock()

	served := make(chan error, 1)

	go func() { served <- srv.Serve(h.silence.listen(l)) }()

	select {
	case err := <-served:
		return ended(err)
	case <-ctx.Done():
	}

	timeout := h.cfg.StopTimeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}

	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()

	if err := srv.Shutdown(limit); err != nil {
		return errors.Join(err, srv.Close())
	}

	return ended(<-served)
}

// ended returns nil for the error by which a server says that it was told to stop.
func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return err
}

// Abort closes the listener and all connections at once, as the death of the
// process would. Serve then returns.
func (h *Host[F]) Abort() {
	h.mu.Lock()
	srv := h.server
	h.mu.Unlock()

	if srv != nil {
		// What can't be closed is closed already.
		_ = srv.Close()
	}
}
