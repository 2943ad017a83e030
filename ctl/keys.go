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
	// Directory takes the files. An authority that is there already signs on.
	Directory string
	// Processes are VM:ROLE each.
	Processes []string
}

// MadeKey is one line of MakeKeys.
type MadeKey struct {
	// VM and Role are what the certificate bears.
	VM   string `json:"vm"`
	Role string `json:"role"`
	// Certificate and Key are the files.
	Certificate string `json:"certificate_file"`
	Key         string `json:"key_file"`
}

// MakeKeys makes the keys by which own processes know each other, for trials:
// an authority and a certificate for each process.
func MakeKeys(now time.Time, t Terminal, o KeysOptions) error {
	if o.Directory == "" || len(o.Processes) == 0 {
		return fmt.Errorf("%w: ctl keys needs a directory and processes as VM:ROLE", errUsage)
	}

	authority, err := openAuthority(now, o.Directory)
	if err != nil {
		return err
	}

	made := make([]MadeKey, 0, len(o.Processes))
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

		one := MadeKey{vm, role, filepath.Join(o.Directory, vm+".pem"), filepath.Join(o.Directory, vm+".key")}
		made = append(made, one)
		rows = append(rows, []string{one.VM, one.Role, one.Certificate, one.Key})
	}

	return t.table(made, []string{"VM", "ROLE", "CERTIFICATE", "KEY"}, rows)
}

// openAuthority reads the authority in dir, or makes one where there is none.
func openAuthority(now time.Time, dir string) (*certificate.Authority, error) {
	authority, err := certificate.LoadAuthority(dir)
	if err == nil {
		return authority, nil
	}

	// One that is there and can't be read is never replaced: all processes
	// with its certificates would be cut off.
	if found, _ := filepath.Glob(filepath.Join(dir, certificate.AuthorityFile)); len(found) > 0 {
		return nil, failure.Wrap(failure.BadSettings, err, "the authority in the directory can't be used")
	}

	if authority, err = certificate.NewAuthority(now); err != nil {
		return nil, err
	}

	return authority, authority.Write(dir)
}

// KeysMenu is `keys` on the program's command line.
type KeysMenu struct {
	command *flaggy.Subcommand
	options KeysOptions
}

// AttachKeys adds `keys` below parent.
func AttachKeys(parent *flaggy.Subcommand) *KeysMenu {
	m := &KeysMenu{}

	m.command = command(parent, "keys", "Make keys for own processes, for trials.",
		"boragehub ctl keys --directory keys --process e1:entry --process s1:side")
	m.command.String(&m.options.Directory, "d", "directory", "Where the files go.")
	m.command.StringSlice(&m.options.Processes, "p", "process", "VM:ROLE of one process; may stand several times.")

	return m
}

// Run carries out `keys`; false says that it wasn't chosen.
func (m *KeysMenu) Run(now time.Time, t Terminal) (bool, error) {
	if !m.command.Used {
		return false, nil
	}

	return true, MakeKeys(now, t, m.options)
}
