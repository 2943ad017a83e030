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

// Serve listens on the TCP address addr until ctx ends, then shuts down: it waits up to
// Config.StopTimeout for active requests. It returns nil after a clean shutdown or Abort.
func (b *BaseServer[F]) Serve(ctx context.Context, addr string) error {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}

	return b.ServeListener(ctx, l)
}

// ServeListener is Serve on an existing listener, which it closes.
func (b *BaseServer[F]) ServeListener(ctx context.Context, l net.Listener) error {
	srv := &http.Server{
		Handler:           b.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       b.connections.connContext,
	}
	srv.RegisterOnShutdown(func() { b.stopOnce.Do(func() { close(b.stopping) }) })

	b.mu.Lock()
	b.server = srv
	b.mu.Unlock()

	serveErr := make(chan error, 1)

	go func() { serveErr <- srv.Serve(b.connections.wrapListener(l)) }()

	select {
	case err := <-serveErr:
		return ignoreServerClosed(err)
	case <-ctx.Done():
	}

	timeout := b.cfg.StopTimeout
	if timeout == 0 {
		timeout = defaultStopTimeout
	}

	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()

	if err := srv.Shutdown(shutdownCtx); err != nil {
		return errors.Join(err, srv.Close())
	}

	return ignoreServerClosed(<-serveErr)
}

// ignoreServerClosed returns nil for http.ErrServerClosed, which a requested stop yields.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return err
}

// Abort closes the listener and all connections immediately, to simulate a crash of the
// process. Serve then returns.
func (b *BaseServer[F]) Abort() {
	b.mu.Lock()
	srv := b.server
	b.mu.Unlock()

	if srv != nil {
		// An error here means that the listener or a connection was already closed.
		_ = srv.Close()
	}
}
