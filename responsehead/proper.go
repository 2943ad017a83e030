package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrImproper is returned for a head that isn't proper, as the package comment tells.
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

// checkHead returns nil if a head is proper.
func checkHead(head []byte) error {
	line, _ := cutLine(head)

	return checkStatusLine(line)
}

// cutLine returns the first line, without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))

	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func checkStatusLine(line []byte) error {
	status := 0

	if !bytes.HasPrefix(line, []byte("HTTP/1.")) || len(line) < versionBytes || !isDigit(line[minorVersionAt]) {
		return improper("the status line %.40q", line)
	}

	rest := bytes.TrimLeft(line[versionBytes:], " ")
	digits, reason := rest[:min(len(rest), statusBytes)], rest[min(len(rest), statusBytes):]

	for _, c := range digits {
		if !isDigit(c) {
			return improper("the status line %.40q", line)
		}

		status = 10*status + int(c-'0')
	}

	separated := len(rest) < len(line)-versionBytes && (len(reason) == 0 || reason[0] == ' ')

	switch {
	case len(digits) < statusBytes, !separated, !isValue(reason):
		return improper("the status line %.40q", line)
	case status < minStatus, status > maxStatus, status == http.StatusSwitchingProtocols:
		return improper("the status %s", digits)
	default:
		return nil
	}
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
