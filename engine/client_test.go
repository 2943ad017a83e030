package engine

import (
	"context"
	"net/http"
	"testing"

	"boragehub/prompt"
)

// An export is in the engine's own format, so that nothing but its framing tells whether it is whole.
// Guards against storing the beginning of one that the engine broke off.
func TestExportThatEndsWithItsConnectionIsRefused(t *testing.T) {
	for _, f := range framings {
		t.Run(f.name, func(t *testing.T) {
			address := serveOnce(t, "X-Block-Count: 1\r\n", f.frame("blocks"))

			body, _, _, err := Client{Address: address, HTTP: &http.Client{}}.Export(context.Background(), prompt.Chain{{}})
			if refused := f.name == "close"; (err != nil) != refused || err == nil && string(body) != "blocks" {
				t.Errorf("got %q, %v, want refused: %v", body, err, refused)
			}
		})
	}
}
