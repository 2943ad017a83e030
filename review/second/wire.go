package main

// The records that operators and targets write to the log.

// configuration is the record config of the operator.
type configuration struct {
	Revision int             `json:"revision"`
	Routes   []route         `json:"routes"`
	Services []serviceRecord `json:"services"`
	Tenants  []tenant        `json:"tenants"`
	Limits   limits          `json:"limits"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	GapAimMs        int    `json:"gapAimMs,omitempty"`
	Priority        int    `json:"priority"`
	MaxAttempts     int    `json:"maxAttempts"`
	Sticky          bool   `json:"sticky,omitempty"`
}

type serviceRecord struct {
	Name           string        `json:"name"`
	MaxConnections int           `json:"maxConnections"`
	HealthPath     string        `json:"healthPath"`
	Engine         *engineRecord `json:"engine,omitempty"`
}

type engineRecord struct {
	Slots            int           `json:"slots"`
	KvCapacityTokens int           `json:"kvCapacityTokens"`
	TokenKvBytes     float64       `json:"tokenKvBytes"`
	LinkMbps         float64       `json:"linkMbps"`
	Models           []modelRecord `json:"models"`
}

// modelRecord is a model in a configuration, or with the version of an engine.
type modelRecord struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision,omitempty"`
	Adapters []string `json:"adapters"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// namedVersion is the record version/MODEL of the operator.
type namedVersion struct {
	Model    string `json:"model"`
	Revision int64  `json:"revision"`
}

// entryRecord is a target's record in the register.
type entryRecord struct {
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Revision        string        `json:"revision"` // of its software
	Slots           int           `json:"slots"`
	State           string        `json:"state"`
	ColdRemainingMs int           `json:"coldRemainingMs"`
	Sequence        int           `json:"sequence"`
	Stage           string        `json:"stage,omitempty"`
	Models          []modelRecord `json:"models,omitempty"`
}

// smallLimits and oneTenant are those of all cases.
func smallLimits() limits {
	return limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000}
}

func oneTenant() []tenant { return []tenant{{Name: "ferry", APIKeys: []string{callerKey}}} }

// callerKey is the key of all callers.
const callerKey = "k1"
