package wholepath

import (
	"net/http"
	"testing"
)

// A piece of an engine's answer is lost or comes twice, and all the rest comes in
// order with a proper end. The rider would read an answer with a hole, such as a
// departure without its hour. The engine's own count of tokens tells, so the
// answer must be whole or an error.
func TestAnswerWithAHolePassesForNoWholeOne(t *testing.T) {
	cases := []struct {
		name   string
		meddle meddling
	}{
		{"piece missing", func(w http.ResponseWriter, c [][]byte) { pass(w, c[0]); pass(w, c[2:]...) }},
		{"piece twice", func(w http.ResponseWriter, c [][]byte) { pass(w, c[0]); pass(w, c...) }},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { damage(t, c.meddle) })
	}
}
