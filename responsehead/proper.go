package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrImproper is returned for a head or a trailer that isn't proper, as the package comment tells.
var ErrImproper = errors.New("the head of the response is not proper")

// improper returns an error that is ErrImproper, with the reason as in fmt.Sprintf.
func improper(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrImproper, fmt.Sprintf(format, args...))
}

// Sizes of a status line.
const (
	minorVersionAt = len("HTTP/1.")
	versionBytes   = len("HTTP/1.1")
	statusBytes    = 3
)

const (
	minStatus = 100
	maxStatus = 599
)

// IsFinalStatus reports whether a status may be that of a final response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isToken holds the characters of a token (RFC 9110, section 5.6.2).
var isToken = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}

	return is
}()

// framing is what a head tells about the length of its body.
type framing struct {
	length  []byte // nil if there is none
	chunked bool
}

// checkHead returns nil if a head, with its empty line, is proper.
func checkHead(head []byte) error {
	line, fields := cutLine(head)

	minorVersion, status, err := parseStatusLine(line)
	if err != nil {
		return err
	}

	var f framing
	if err := checkFields(fields, &f); err != nil {
		return err
	}

	bodiless := status < http.StatusOK || status == http.StatusNoContent

	switch {
	case f.chunked && f.length != nil:
		return improper("a length beside chunks")
	case f.chunked && minorVersion == 0:
		return improper("chunks in HTTP/1.0")
	case bodiless && (f.chunked || len(bytes.Trim(f.length, "0")) > 0):
		return improper("a body with status %d", status)
	default:
		return nil
	}
}

// cutLine returns the first line, without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))

	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func parseStatusLine(line []byte) (minorVersion, status int, err error) {
	if !bytes.HasPrefix(line, []byte("HTTP/1.")) || len(line) < versionBytes || !isDigit(line[minorVersionAt]) {
		return 0, 0, improper("the status line %.40q", line)
	}

	rest := bytes.TrimLeft(line[versionBytes:], " ")
	digits, reason := rest[:min(len(rest), statusBytes)], rest[min(len(rest), statusBytes):]

	for _, c := range digits {
		if !isDigit(c) {
			return 0, 0, improper("the status line %.40q", line)
		}

		status = 10*status + int(c-'0')
	}

	separated := len(rest) < len(line)-versionBytes && (len(reason) == 0 || reason[0] == ' ')

	switch {
	case len(digits) < statusBytes, !separated, !isValue(reason):
		return 0, 0, improper("the status line %.40q", line)
	case status < minStatus, status > maxStatus, status == http.StatusSwitchingProtocols:
		return 0, 0, improper("the status %s", digits)
	default:
		return int(line[minorVersionAt] - '0'), status, nil
	}
}

// checkFields returns nil if header fields, with the empty line that ends them, are proper, and adds what they tell
// about the length of the body.
func checkFields(fields []byte, f *framing) error {
	for {
		var line []byte
		if line, fields = cutLine(fields); len(line) == 0 {
			return nil
		}

		at := bytes.IndexByte(line, ':')
		if at <= 0 {
			return improper("the line %.40q is no header field", line)
		}

		name, value := line[:at], bytes.Trim(line[at+1:], " \t")

		for _, c := range name {
			if !isToken[c] {
				return improper("the name of a header field is %.40q", name)
			}
		}

		if !isValue(value) {
			return improper("the value of the header field %.40q has a control character", name)
		}

		if err := f.add(name, value); err != nil {
			return err
		}
	}
}

// add adds what a header field tells about the length of the body.
func (f *framing) add(name, value []byte) error {
	switch {
	case isNamed(name, "Content-Length"):
		digits := len(value) > 0
		for _, c := range value {
			digits = digits && isDigit(c)
		}

		if !digits || f.length != nil && !bytes.Equal(f.length, value) {
			return improper("the length %.40q", value)
		}

		f.length = value
	case isNamed(name, "Transfer-Encoding"):
		if f.chunked || !strings.EqualFold(string(value), "chunked") {
			return improper("the transfer encoding %.40q", value)
		}

		f.chunked = true
	}

	return nil
}

// isNamed reports whether a header field has a name, in any case.
func isNamed(field []byte, name string) bool {
	return len(field) == len(name) && strings.EqualFold(string(field), name)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isValue reports whether a text has no control characters but tabs.
func isValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}

	return true
}
