package ctl

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"boragehub/certificate"
	"boragehub/failure"
)

// KeysOptions are the flags of MakeKeys.
type KeysOptions struct {
	// Directory takes the files. An authority that it holds already signs the new certificates.
	Directory string
	// Processes are the processes, each as VM:ROLE.
	Processes []string
}

// IssuedKey is one line of the output of MakeKeys.
type IssuedKey struct {
	// VM and Role are the subject of the certificate.
	VM   string `json:"vm"`
	Role string `json:"role"`
	// Certificate and Key are the names of the files.
	Certificate string `json:"certificate_file"`
	Key         string `json:"key_file"`
}

// MakeKeys writes an authority, unless there is one, and a certificate and key for each
// process, by which processes authenticate each other. It is meant for trials.
func MakeKeys(now time.Time, t Terminal, o KeysOptions) error {
	if o.Directory == "" || len(o.Processes) == 0 {
		return fmt.Errorf("%w: ctl keys needs --directory and at least one --process VM:ROLE", errUsage)
	}

	authority, err := openAuthority(now, o.Directory)
	if err != nil {
		return err
	}

	issued := make([]IssuedKey, 0, len(o.Processes))
	rows := make([][]string, 0, len(o.Processes))

	for _, process := range o.Processes {
		vm, role, ok := strings.Cut(process, ":")
		if !ok || vm == "" || role == "" {
			return fmt.Errorf("%w: %q is not VM:ROLE", errUsage, process)
		}

		pair, err := authority.Issue(now, certificate.Subject{VM: vm, Role: role})
		if err != nil {
			return err
		}

		if err := pair.Write(o.Directory, vm); err != nil {
			return err
		}

		key := IssuedKey{vm, role, filepath.Join(o.Directory, vm+".pem"), filepath.Join(o.Directory, vm+".key")}
		issued = append(issued, key)
		rows = append(rows, []string{key.VM, key.Role, key.Certificate, key.Key})
	}

	return t.writeTable(issued, []string{"VM", "ROLE", "CERTIFICATE", "KEY"}, rows)
}

// openAuthority reads the authority in dir, or creates one if there is none.
func openAuthority(now time.Time, dir string) (*certificate.Authority, error) {
	authority, err := certificate.LoadAuthority(dir)
	if err == nil {
		return authority, nil
	}

	// An existing authority that can't be read is never replaced: all processes with its
	// certificates would lose their connections.
	if found, _ := filepath.Glob(filepath.Join(dir, certificate.AuthorityFile)); len(found) > 0 {
		return nil, failure.Wrap(failure.BadSettings, err, "cannot load the existing authority")
	}

	if authority, err = certificate.NewAuthority(now); err != nil {
		return nil, err
	}

	return authority, authority.Write(dir)
}

// KeysMenu holds the subcommand `keys` and its flags.
type KeysMenu struct {
	command *flaggy.Subcommand
	options KeysOptions
}

// AttachKeys adds `keys` to parent.
func AttachKeys(parent *flaggy.Subcommand) *KeysMenu {
	m := &KeysMenu{}

	m.command = addCommand(parent, "keys", "Make certificates and keys for the system's processes, for trials.",
		"boragehub ctl keys --directory keys --process e1:entry --process s1:side")
	m.command.String(&m.options.Directory, "d", "directory", "Directory for the files.")
	m.command.StringSlice(&m.options.Processes, "p", "process", "VM:ROLE of a process; may be repeated.")

	return m
}

// Run runs `keys`; false means that it wasn't chosen.
func (m *KeysMenu) Run(now time.Time, t Terminal) (bool, error) {
	if !m.command.Used {
		return false, nil
	}

	return true, MakeKeys(now, t, m.options)
}
