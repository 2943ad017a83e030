package standin

import (
	"context"
	"net"
	"strings"
)

// FramingFaults set how a stand-in frames its streams and breaks them off. The zero FramingFaults sends
// chunks, ends lines with LF and breaks nothing off.
type FramingFaults struct {
	// Unframed makes streams end with their connections, without chunks.
	Unframed bool `json:"unframed"`
	// BreakAfter is the number of events after which a stream is broken off, inside the next one; zero
	// for never.
	BreakAfter int `json:"break_after"`
	// Resets resets the connection of a stream that is broken off; otherwise it is closed in order.
	Resets bool `json:"resets"`
	// LineEnd ends the lines of a stream: "lf", "crlf" or "cr"; empty is "lf".
	LineEnd string `json:"line_end"`
}

// Lines returns a text with its line feeds replaced by LineEnd.
func (f FramingFaults) Lines(text string) string {
	end := map[string]string{"crlf": "\r\n", "cr": "\r"}[f.LineEnd]
	if end == "" {
		return text
	}

	return strings.ReplaceAll(text, "\n", end)
}

// ResetOnClose has the connection of a request reset when it is closed.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return
	}

	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}
