package wholepath

import (
	"net/http"
	"testing"
)

// A chunk of an engine's response is lost or duplicated; the other chunks arrive in order
// and the stream ends properly. The caller would get a text with a gap. The token count
// that the engine reports reveals it, so the result must be a complete response or an error.
func TestResponseWithGapIsNotTakenAsComplete(t *testing.T) {
	cases := []struct {
		name   string
		tamper tamperFunc
	}{
		{"chunk missing", func(w http.ResponseWriter, c [][]byte) { send(w, c[0]); send(w, c[2:]...) }},
		{"chunk duplicated", func(w http.ResponseWriter, c [][]byte) { send(w, c[0]); send(w, c...) }},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { checkTamperedResponse(t, c.tamper) })
	}
}
