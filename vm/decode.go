package vm

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strconv"

	"boragehub/failure"
)

// response is the platform's list, with its VMs one by one.
type response struct {
	version uint64
	vms     []VM
	// unreadable are the errors of VMs that were left out.
	unreadable []error
}

var errSyntax = errors.New("the JSON text is invalid")

// decode decodes a response of the platform. A VM that is unreadable is left out; encoding/json would refuse all of them
// for one of another type or nested too deeply. The error is failure.BadMessage.
func decode(body []byte) (response, error) {
	var (
		r    response
		list []byte
	)

	err := eachValue(body, '{', func(key string, value []byte) error {
		switch key {
		case "version":
			return json.Unmarshal(value, &r.version)
		case "vms":
			list = value
		}

		return nil
	})
	if err == nil && len(list) > 0 && !bytes.Equal(list, []byte("null")) {
		err = eachValue(list, '[', func(_ string, value []byte) error {
			m, err := decodeVM(value)
			if err != nil {
				r.unreadable = append(r.unreadable, err)
			} else {
				r.vms = append(r.vms, m)
			}

			return nil
		})
	}

	if err != nil {
		return response{}, failure.Wrap(failure.BadMessage, err, "could not decode the VM list")
	}

	return r, nil
}

// decodeVM decodes one VM.
func decodeVM(text []byte) (VM, error) {
	var m VM
	if err := json.Unmarshal(text, &m); err != nil {
		return VM{}, failure.Wrap(failure.BadMessage, err, "could not decode a VM")
	}

	if m.Name == "" || m.Kind == 0 {
		return VM{}, failure.New(failure.BadMessage, "the VM %.80q has no name or no kind", m.Name)
	}

	for _, address := range []string{m.Address, m.SideAddress} {
		if address != "" && !hasPort(address) {
			return VM{}, failure.New(failure.BadMessage, "the VM %.80q has the invalid address %.80q", m.Name, address)
		}
	}

	return m, nil
}

// hasPort reports whether a text is a host and a port.
func hasPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)

	return err == nil && portErr == nil && host != "" && n > 0
}

// eachValue calls f with the texts of the values of a JSON object or array, as open says, and the keys of an object. The
// values may be invalid.
func eachValue(text []byte, open byte, f func(key string, value []byte) error) error {
	rest := bytes.TrimLeft(text, jsonSpace)
	if len(rest) == 0 || rest[0] != open {
		return errSyntax
	}

	end := open + 2 // ']' or '}' in ASCII

	for first := true; ; first = false {
		rest = bytes.TrimLeft(rest[1:], jsonSpace)
		if first && len(rest) > 0 && rest[0] == end {
			return nil
		}

		key := ""

		if open == '{' {
			var err error
			if key, rest, err = cutKey(rest); err != nil {
				return err
			}
		}

		n := valueLength(rest)
		if n == 0 {
			return errSyntax
		}

		if err := f(key, rest[:n]); err != nil {
			return err
		}

		rest = bytes.TrimLeft(rest[n:], jsonSpace)

		switch {
		case len(rest) == 0:
			return errSyntax
		case rest[0] == end:
			return nil
		case rest[0] != ',':
			return errSyntax
		}
	}
}

// cutKey returns the key that a text begins with, and what follows its colon.
func cutKey(text []byte) (key string, rest []byte, err error) {
	n := valueLength(text)
	if err := json.Unmarshal(text[:n], &key); err != nil {
		return "", nil, err
	}

	if rest = bytes.TrimLeft(text[n:], jsonSpace); len(rest) == 0 || rest[0] != ':' {
		return "", nil, errSyntax
	}

	return key, bytes.TrimLeft(rest[1:], jsonSpace), nil
}

// jsonSpace are the characters between the values of a JSON text.
const jsonSpace = " \t\r\n"

// valueLength returns the length of the JSON value that a text begins with, however deeply it is nested; zero if it has
// no end.
func valueLength(text []byte) int {
	depth := 0

	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '"':
			n := stringLength(text[i:])
			if n == 0 {
				return 0
			}

			i += n - 1
		case '[', '{':
			depth++

			continue
		case ']', '}':
			if depth == 0 {
				return i
			}

			depth--
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}

			continue
		default:
			continue
		}

		if depth == 0 {
			return i + 1
		}
	}

	if depth == 0 {
		return len(text)
	}

	return 0
}

// stringLength returns the length of the JSON string that a text begins with, zero if it has no end.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}

	return 0
}
