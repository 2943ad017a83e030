package setting

import (
	"os"
	"time"

	"boragehub/failure"
)

// Role is the role of a process.
type Role string

// The roles that have a process settings file.
const (
	// EntryRole accepts callers' requests and routes them to targets.
	EntryRole Role = "entry"
	// SideRole is a side process, which serves one target.
	SideRole Role = "side"
)

// Process is the settings file of one process.
type Process struct {
	// Role is entry or side.
	Role Role `toml:"role" validate:"required,oneof=entry side"`
	// VM is the name of the process's VM.
	VM string `toml:"vm" validate:"required,object_name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `toml:"data_centre" validate:"required,object_name"`
	// Site is the site of the data centre.
	Site string `toml:"site" validate:"required,object_name"`
	// LogLevel is the log level; empty means info.
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=error info debug"`
	// Listen holds the listen addresses.
	Listen Listen `toml:"listen"`
	// Platform holds the URLs of the platform's services.
	Platform Platform `toml:"platform"`
	// Target is the target of a side process; an entry has none.
	Target ProcessTarget `toml:"target"`
	// TLS holds the certificate and key files.
	TLS TLS `toml:"tls"`
	// Limits bounds connections, requests and shutdown times.
	Limits Limits `toml:"limits"`
}

// Listen holds the listen addresses of a process, as IP:PORT.
type Listen struct {
	// Callers is the address on which an entry accepts requests.
	Callers string `toml:"callers" validate:"omitempty,hostname_port"`
	// Peers is the address for connections from other boragehub processes.
	Peers string `toml:"peers" validate:"required,hostname_port"`
	// Operators is the address that serves health, readiness and metrics.
	Operators string `toml:"operators" validate:"required,hostname_port"`
}

// Platform holds the URLs of the platform's services that a process uses.
type Platform struct {
	// LogURL is the URL of the log service.
	LogURL string `toml:"log_url" validate:"required,http_url"`
	// VMListURL is the URL of the VM list.
	VMListURL string `toml:"vm_list_url" validate:"required,http_url"`
}

// ProcessTarget is the target of a side process.
type ProcessTarget struct {
	// Service is the service that the target belongs to.
	Service string `toml:"service" validate:"omitempty,object_name"`
	// Kind is the kind of the service; empty means engine.
	Kind ServiceKind `toml:"kind" validate:"omitempty,oneof=engine plain"`
	// URL is the base URL of the target.
	URL string `toml:"url" validate:"omitempty,http_url"`
}

// TLS holds the paths of a process's certificate and key files. The files are
// reloaded when they change.
type TLS struct {
	// CAFile is the file with the CA certificates that sign peers' certificates.
	CAFile string `toml:"ca_file" validate:"required"`
	// CertificateFile is the file with the process's own certificate.
	CertificateFile string `toml:"certificate_file" validate:"required"`
	// KeyFile is the file with its private key.
	KeyFile string `toml:"key_file" validate:"required"`
}

// Limits bounds a process's connections, requests and shutdown times; zero means
// the default.
type Limits struct {
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int `toml:"max_connections" validate:"gte=0,lte=1000000"`
	// MaxRequests is the maximum number of requests in flight.
	MaxRequests int `toml:"max_requests" validate:"gte=0,lte=1000000"`
	// MemoryMB is the memory of the process's VM, in MB. Callers' connections and requests get a part of it.
	MemoryMB int `toml:"memory_mb" validate:"gte=0,lte=16777216"`
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"gte=0,lte=1048576"`
	// BalancerGrace is how long a stopping entry still accepts requests after it
	// has become unready, so that the platform's load balancer can notice.
	BalancerGrace Duration `toml:"balancer_grace" validate:"gte=0s,lte=5m"`
	// DrainTimeout is how long a planned stop waits for requests in flight.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gte=0s,lte=1h"`
}

// Defaults of a process's limits and log level.
const (
	defaultMaxConnections = 10000
	defaultMaxRequests    = 4096
	defaultMemoryMB       = 4096
	defaultMaxHeaderBytes = 16 << 10
	defaultBalancerGrace  = 5 * time.Second
	defaultDrainTimeout   = time.Minute
	defaultLogLevel       = "info"
)

// LoadProcess reads and validates the settings file of one process. An error is
// a failure.BadSettings.
func LoadProcess(file string) (Process, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Process{}, failure.Wrap(failure.BadSettings, err, "cannot read the process settings file")
	}

	return ParseProcess(file, text)
}

// ParseProcess parses and validates the text of one process's settings file and
// sets the defaults. name is the file name for error messages. An error is a
// failure.BadSettings whose cause is Problems.
func ParseProcess(name string, text []byte) (Process, error) {
	var p Process

	problems := decode(name, text, &p)
	if len(problems) == 0 {
		problems = p.checkRole(name, text)
	}

	if err := badSettings(problems); err != nil {
		return Process{}, err
	}

	p.setDefaults()

	return p, nil
}

// checkRole checks that the keys that p's role requires are set.
func (p *Process) checkRole(name string, text []byte) Problems {
	c := referenceChecker{file: name, text: text}

	switch {
	case p.Role == EntryRole && p.Listen.Callers == "":
		c.add("is required for an entry", "listen.callers")
	case p.Role == SideRole && p.Target.URL == "":
		c.add("is required for a side process", "target.url")
	case p.Role == SideRole && p.Target.Service == "":
		c.add("is required for a side process", "target.service")
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

	if p.Limits.MemoryMB == 0 {
		p.Limits.MemoryMB = defaultMemoryMB
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
