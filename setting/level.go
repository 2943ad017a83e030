package setting

import (
	"reflect"
	"time"
)

// overrides are the values that one level of the tree sets; a nil field is
// inherited. Each field has the same name as the field of Values that it
// overrides; its tags hold the key and the bounds.
type overrides struct {
	Class             *Class    `toml:"class" validate:"omitnil"`
	Deadline          *Duration `toml:"deadline" validate:"omitnil,gte=10ms,lte=1h"`
	Timeout           *Duration `toml:"timeout" validate:"omitnil,gte=10ms,lte=24h"`
	UsualGap          *Duration `toml:"usual_gap" validate:"omitnil,gte=1s,lte=2160h"`
	FirstTokenWeight  *float64  `toml:"first_token_weight" validate:"omitnil,gte=0,lte=1000"`
	RecomputedWeight  *float64  `toml:"recomputed_weight" validate:"omitnil,gte=0,lte=1000"`
	MaxBodyBytes      *int64    `toml:"max_body_bytes" validate:"omitnil,gte=1024,lte=268435456"`
	MaxOutputTokens   *int      `toml:"max_output_tokens" validate:"omitnil,gte=1,lte=1048576"`
	RequestsPerSecond *float64  `toml:"requests_per_second" validate:"omitnil,gt=0,lte=100000"`
	RequestBurst      *int      `toml:"request_burst" validate:"omitnil,gte=1,lte=100000"`
	Share             *float64  `toml:"share" validate:"omitnil,gt=0,lte=1000"`
	MaxAttempts       *int      `toml:"max_attempts" validate:"omitnil,gte=1,lte=5"`
	RetryRatio        *float64  `toml:"retry_ratio" validate:"omitnil,gte=0,lte=1"`
	HedgeAfter        *Duration `toml:"hedge_after" validate:"omitnil,gte=0s,lte=1m"`
	ParkMinTokens     *int      `toml:"park_min_tokens" validate:"omitnil,gte=16,lte=16777216"`
	QuarantineCrashes *int      `toml:"quarantine_crashes" validate:"omitnil,gte=1,lte=2"`
	QuarantineMemory  *Duration `toml:"quarantine_memory" validate:"omitnil,gte=1m,lte=168h"`
	IdempotentMethods *[]string `toml:"idempotent_methods" validate:"omitnil,dive,oneof=GET HEAD OPTIONS PUT DELETE POST PATCH"`
}

// apply returns v with the values that o sets. It uses reflection, so it is called
// when a tree is parsed and never on the request path.
func (o *overrides) apply(v Values) Values {
	from := reflect.ValueOf(o).Elem()
	to := reflect.ValueOf(&v).Elem()

	for i := range from.NumField() {
		field := from.Field(i)
		if field.IsNil() {
			continue
		}

		target := to.FieldByName(from.Type().Field(i).Name)
		target.Set(field.Elem().Convert(target.Type()))
	}

	return v
}

// Duration is a time.Duration that is written in settings as text with a unit,
// such as "30s".
type Duration time.Duration

// MarshalText returns d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}

	*d = Duration(v)

	return nil
}

// siteLevel is the content of `[site.NAME]`.
type siteLevel struct {
	overrides
	Services map[string]serviceLevel `toml:"service" validate:"dive,keys,object_name,endkeys"`
}

// serviceLevel is the content of `[site.NAME.service.NAME]`.
type serviceLevel struct {
	overrides
	Organisations map[string]organisationLevel `toml:"organisation" validate:"dive,keys,object_name,endkeys"`
}

// organisationLevel is the content of
// `[site.NAME.service.NAME.organisation.NAME]`.
type organisationLevel struct {
	overrides
	Workloads map[string]workloadLevel `toml:"workload" validate:"dive,keys,object_name,endkeys"`
}

// workloadLevel is the content of
// `[site.NAME.service.NAME.organisation.NAME.workload.NAME]`.
type workloadLevel struct {
	overrides
}

// Keys returns the settings keys of the fields of Values, in their order.
func Keys() []string {
	t := reflect.TypeFor[overrides]()

	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = t.Field(i).Tag.Get("toml")
	}

	return keys
}

// sets reports whether o sets key. It returns false for an unknown key.
func (o *overrides) sets(key string) bool {
	v := reflect.ValueOf(o).Elem()

	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == key {
			return !v.Field(i).IsNil()
		}
	}

	return false
}

// Source returns the level that sets the value of key that is in force for p:
// the path of the level, or "root", or "default" if no level sets it.
func (t *Tree) Source(p Path, key string) string {
	source := "default"
	if t.doc.sets(key) {
		source = "root"
	}

	site, ok := t.doc.Sites[p.Site]
	if !ok {
		return source
	}

	if site.sets(key) {
		source = p.Site
	}

	service, ok := site.Services[p.Service]
	if !ok {
		return source
	}

	if service.sets(key) {
		source = p.Site + "/" + p.Service
	}

	organisation, ok := service.Organisations[p.Organisation]
	if !ok {
		return source
	}

	if organisation.sets(key) {
		source = p.Site + "/" + p.Service + "/" + p.Organisation
	}

	workload, ok := organisation.Workloads[p.Workload]
	if ok && workload.sets(key) {
		source = p.String()
	}

	return source
}
