package setting

import (
	"os"
	"time"

	"boragehub/failure"
)

// Role is what a process does.
type Role string

// The roles of processes with a settings file.
const (
	// EntryRole takes callers' requests.
	EntryRole Role = "entry"
	// SideRole guards one target.
	SideRole Role = "side"
)

// Process is the settings file of one process.
type Process struct {
	// Role is entry or side.
	Role Role `toml:"role" validate:"required,oneof=entry side"`
	// VM is the name of the VM that the process runs on.
	VM string `toml:"vm" validate:"required,object_name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `toml:"data_centre" validate:"required,object_name"`
	// Site is the site of the data centre.
	Site string `toml:"site" validate:"required,object_name"`
	// LogLevel is error, info or debug; empty means info.
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=error info debug"`
	// Listen are the addresses that the process serves on.
	Listen Listen `toml:"listen"`
	// Platform are the systems that the process reads from.
	Platform Platform `toml:"platform"`
	// Target is what a side process guards; an entry has none.
	Target ProcessTarget `toml:"target"`
	// TLS are the process's keys.
	TLS TLS `toml:"tls"`
	// Limits bound what the process takes on.
	Limits Limits `toml:"limits"`
}

// Listen are the addresses that a process serves on, as IP:PORT.
type Listen struct {
	// Callers is where an entry takes requests.
	Callers string `toml:"callers" validate:"omitempty,hostname_port"`
	// Peers is where the process takes the connections of its own kind.
	Peers string `toml:"peers" validate:"required,hostname_port"`
	// Operators is where health, readiness and metrics are served.
	Operators string `toml:"operators" validate:"required,hostname_port"`
}

// Platform are the systems that a process reads from.
type Platform struct {
	// LogURL is the log service.
	LogURL string `toml:"log_url" validate:"required,http_url"`
	// VMListURL is the list of VMs.
	VMListURL string `toml:"vm_list_url" validate:"required,http_url"`
}

// ProcessTarget is what a side process guards.
type ProcessTarget struct {
	// Service is the service that the target belongs to.
	Service string `toml:"service" validate:"omitempty,object_name"`
	// Kind is engine or plain; empty means engine.
	Kind ServiceKind `toml:"kind" validate:"omitempty,oneof=engine plain"`
	// URL is where the target listens.
	URL string `toml:"url" validate:"omitempty,http_url"`
}

// TLS are the files of a process's keys. They are read again when they change.
type TLS struct {
	// CAFile holds the certificates that peers' certificates are signed by.
	CAFile string `toml:"ca_file" validate:"required"`
	// CertificateFile holds the process's own certificate.
	CertificateFile string `toml:"certificate_file" validate:"required"`
	// KeyFile holds its private key.
	KeyFile string `toml:"key_file" validate:"required"`
}

// Limits bound what a process takes on; zero means the default.
type Limits struct {
	// MaxConnections bounds the callers' connections.
	MaxConnections int `toml:"max_connections" validate:"gte=0,lte=1000000"`
	// MaxRequests bounds the requests in work at once.
	MaxRequests int `toml:"max_requests" validate:"gte=0,lte=1000000"`
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"gte=0,lte=1048576"`
	// BalancerGrace is how long an entry that stops still takes callers after it
	// has become unready, so that the platform's balancer has noticed.
	BalancerGrace Duration `toml:"balancer_grace" validate:"gte=0s,lte=5m"`
	// DrainTimeout is how long a planned stop waits for requests in work.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gte=0s,lte=1h"`
}

// Defaults of a process's limits.
const (
	defaultMaxConnections = 10000
	defaultMaxRequests    = 4096
	defaultMaxHeaderBytes = 16 << 10
	defaultBalancerGrace  = 5 * time.Second
	defaultDrainTimeout   = time.Minute
	defaultLogLevel       = "info"
)

// LoadProcess reads and checks the settings file of one process. The error is
// a failure.BadSettings.
func LoadProcess(file string) (Process, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Process{}, failure.Wrap(failure.BadSettings, err, "the settings file of the process can't be read")
	}

	return ParseProcess(file, text)
}

// ParseProcess checks the text of one process's settings file; name is the
// file that errors name.
func ParseProcess(name string, text []byte) (Process, error) {
	var p Process

	problems := decode(name, text, &p)
	if len(problems) == 0 {
		problems = p.checkRole(name, text)
	}

	if err := refuse(problems); err != nil {
		return Process{}, err
	}

	p.setDefaults()

	return p, nil
}

// checkRole checks what only one role needs.
func (p *Process) checkRole(name string, text []byte) Problems {
	c := references{file: name, text: text}

	switch {
	case p.Role == EntryRole && p.Listen.Callers == "":
		c.add("an entry needs it", "listen.callers")
	case p.Role == SideRole && p.Target.URL == "":
		c.add("a side process needs it", "target.url")
	case p.Role == SideRole && p.Target.Service == "":
		c.add("a side process needs it", "target.service")
	}

	return c.problems
}

func (p *Process) setDefaults() {
	if p.LogLevel == "" {
		p.LogLevel = defaultLogLevel
	}

	if p.Limits.MaxConnections == 0 {
		p.Limits.MaxConnections = defaultMaxConnections
	}

	if p.Limits.MaxRequests == 0 {
		p.Limits.MaxRequests = defaultMaxRequests
	}

	if p.Limits.MaxHeaderBytes == 0 {
		p.Limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}

	if p.Limits.BalancerGrace == 0 {
		p.Limits.BalancerGrace = Duration(defaultBalancerGrace)
	}

	if p.Limits.DrainTimeout == 0 {
		p.Limits.DrainTimeout = Duration(defaultDrainTimeout)
	}
}
