package setting

// ServiceKind is the kind of targets that a service has.
type ServiceKind string

// The kinds of service.
const (
	// EngineService is served by engines that run language models.
	EngineService ServiceKind = "engine"
	// PlainService is any other HTTP service.
	PlainService ServiceKind = "plain"
)

// DataCentre describes a data centre.
type DataCentre struct {
	// Name identifies the data centre.
	Name string `toml:"name" validate:"required,object_name"`
	// Site is the site to which it belongs.
	Site string `toml:"site" validate:"required,object_name"`
	// Region is the region in which it is located.
	Region string `toml:"region" validate:"required,object_name"`
	// ConcurrentLoads is how many of its engines may load weights at once; 0 means 2.
	ConcurrentLoads int `toml:"concurrent_loads" validate:"gte=0,lte=1000"`
}

// Link describes the network between two data centres, or within one if both
// names are the same.
type Link struct {
	// Between are the names of the two data centres in any order.
	Between [2]string `toml:"between" validate:"dive,required,object_name"`
	// BytesPerSecond is the bandwidth that boragehub may use in each direction.
	BytesPerSecond int64 `toml:"bytes_per_second" validate:"gte=1000,lte=1000000000000"`
	// Delay is the one-way latency.
	Delay Duration `toml:"delay" validate:"gte=0s,lte=10s"`
}

// Service is a group of targets among which requests are routed.
type Service struct {
	// Name identifies the service.
	Name string `toml:"name" validate:"required,object_name"`
	// Kind is the kind of its targets.
	Kind ServiceKind `toml:"kind" validate:"required,oneof=engine plain"`
	// Models are the models that its engines serve, by the names that callers use.
	Models []string `toml:"models" validate:"dive,required,max=128"`
	// WeightVersion is the version that its engines should hold; empty leaves them as they are.
	WeightVersion string `toml:"weight_version" validate:"max=128"`
	// IdempotentPaths are path prefixes of a plain service; requests to them may be retried whatever their method.
	IdempotentPaths []string `toml:"idempotent_paths" validate:"dive,startswith=/,max=256"`
}

// WeightRollout requests the rollout of a weight version to a service's engines.
type WeightRollout struct {
	// Service is the service whose engines are updated.
	Service string `toml:"service" validate:"required,object_name"`
	// WeightVersion is the version to roll out.
	WeightVersion string `toml:"weight_version" validate:"required,max=128"`
	// MaxConcurrent is how many engines are updated at once; 0 means that only the data centres' limits apply.
	MaxConcurrent int `toml:"max_concurrent" validate:"gte=0,lte=1000"`
	// Paused stops the rollout at its present state.
	Paused bool `toml:"paused"`
}

// Drain requests that a target complete its requests in flight and receive no new
// ones.
type Drain struct {
	// Target is the name of the target's VM.
	Target string `toml:"target" validate:"required,object_name"`
	// Reason is shown to the other operators.
	Reason string `toml:"reason" validate:"max=256"`
}

// Evacuation requests that all targets of a data centre be drained.
type Evacuation struct {
	// DataCentre is the data centre to evacuate.
	DataCentre string `toml:"data_centre" validate:"required,object_name"`
	// Reason is shown to the other operators.
	Reason string `toml:"reason" validate:"max=256"`
}

// Organisation is a customer. Contexts and responses are never shared between
// organisations.
type Organisation struct {
	// Name identifies the organisation.
	Name string `toml:"name" validate:"required,object_name"`
	// Keys are the SHA-256 hashes of its API keys, each as "sha256:" and 64 hexadecimal digits. Several are valid at once, so that keys can be rotated.
	Keys []string `toml:"keys" validate:"max=16,dive,key_hash"`
	// Services are the services that it may call; empty means all.
	Services []string `toml:"services" validate:"dive,object_name"`
	// Blocked is true to refuse all of its requests.
	Blocked bool `toml:"blocked"`
}

// Defaults of the objects, which apply where a key is 0 or missing.
const (
	defaultConcurrentLoads = 2
)

// ends returns the sorted names of l's data centres, which are its key in
// Tree.links.
func (l Link) ends() [2]string {
	return sortedPair(l.Between[0], l.Between[1])
}

// sortedPair returns a and b in ascending order.
func sortedPair(a, b string) [2]string {
	if a > b {
		return [2]string{b, a}
	}

	return [2]string{a, b}
}
