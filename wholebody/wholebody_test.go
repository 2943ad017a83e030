package wholebody

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a body that was cut off, by its sender or at the limit, and looks whole.
func TestOnlyWholeBodiesAreReadWithoutError(t *testing.T) {
	errBroken := errors.New("broken")

	tests := []struct {
		name string
		r    io.Reader
		body string
		want error
	}{
		{"empty", strings.NewReader(""), "", nil},
		{"below the limit", strings.NewReader("abc"), "abc", nil},
		{"at the limit", strings.NewReader("abcd"), "abcd", nil},
		{"above the limit", strings.NewReader("abcde"), "abcd", ErrTooLong},
		{"broken off", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(errBroken)), "ab", errBroken},
		{"broken off at the limit", io.MultiReader(strings.NewReader("abcd"), iotest.ErrReader(errBroken)), "abcd", errBroken},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, err := ReadAll(tt.r, 4); string(got) != tt.body || !errors.Is(err, tt.want) {
				t.Errorf("got %q, %v, want %q, %v", got, err, tt.body, tt.want)
			}
		})
	}
}
