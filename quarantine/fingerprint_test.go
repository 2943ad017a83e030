package quarantine

import "testing"

// Guards against requests that are taken for one another, so that responses to one clear the other.
func TestRequestsHaveFingerprintsOfTheirOwn(t *testing.T) {
	all := []Request{
		{"ferry", "desk", "GET", "/a?x=1", nil},
		{"ferry", "desk", "GET", "/a?x=2", nil},
		{"ferry", "desk", "GET", "/a", nil},
		{"ferry", "desk", "GET", "/a?", nil},
		{"ferry", "desk", "GET", "/%61", nil},
		{"ferry", "desk", "PUT", "/a", nil},
		{"ferry", "desk", "GET", "/a", []byte("b")},
		{"ferry", "kiosk", "GET", "/a", nil},
		{"bureau", "desk", "GET", "/a", nil},
		{"", "desk", "GET", "/a", nil},
	}
	seen := make(map[Fingerprint]Request)

	for _, r := range all {
		f := r.Fingerprint()
		if other, ok := seen[f]; ok {
			t.Errorf("got the same fingerprint for %+v and %+v", r, other)
		}

		seen[f] = r

		if again := r; again.Fingerprint() != f {
			t.Errorf("%+v: got another fingerprint when it came again", r)
		}
	}
}

// Guards against requests whose query differs each time and that have nothing in common, and against paths of different
// callers that are taken for one.
func TestPathPartIsThatOfAllQueries(t *testing.T) {
	first := Request{"ferry", "desk", "GET", "/a?x=1", []byte("b")}
	want := first.PathPart("/a")

	for _, tt := range []struct {
		r    Request
		path string
		same bool
	}{
		{Request{"ferry", "desk", "GET", "/a?x=2&y", []byte("b")}, "/a", true},
		{Request{"ferry", "desk", "GET", "/b?x=1", []byte("b")}, "/b", false},
		{Request{"ferry", "desk", "GET", "/a?x=1", nil}, "/a", false},
		{Request{"bureau", "desk", "GET", "/a?x=1", []byte("b")}, "/a", false},
	} {
		if got := tt.r.PathPart(tt.path); (got == want) != tt.same {
			t.Errorf("%+v: got %s, that of %+v is %s, want equal: %v", tt.r, got, first, want, tt.same)
		}
	}
}
