package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"boragehub/event/output"
	"boragehub/platform"
)

// Timing of the processes on the users' platform.
const (
	// operatorWait is how long an entry's read of the operators' topic waits. A
	// configuration has to be in force two seconds after it was acknowledged, also
	// when a connection fell silent shortly before, and at entries that wait for it
	// at this one.
	operatorWait = 500 * time.Millisecond
	// sideOperatorWait is a side process's, which reads the log only when the entry that it
	// polls fails. There are several times as many of them as entries, and each call of the
	// log counts, so they ask entries besides: a weight version has eight seconds, and a
	// connection to the log may fall silent.
	sideOperatorWait = 15 * time.Second
	// sideAskEvery is the pause between two such questions.
	sideAskEvery = 3 * time.Second
	// sideLoadWait is how long a starting side process waits for an entry to return the
	// operators' topic before it reads the log. After a power failure, all side processes
	// start at once.
	sideLoadWait = 4 * time.Second
	// registerEvery is the pause between two reads of the register, or a quarter of
	// the bound for targets that leave if that is less: an entry that waits at this
	// one may know of it 0.85 s later.
	registerEvery = 500 * time.Millisecond
	// bootstrapViewWait is how long an entry waits, when the whole system starts for the first
	// time, until its view of the entries is equal to that of another one. bootstrapLoadWait is
	// how long it then waits for another entry to return a topic before it reads the log.
	// These waits prevent all entries from reading both topics from the log at once.
	bootstrapViewWait = 3 * time.Second
	bootstrapLoadWait = 3 * time.Second
	// restartViewWait is how long an entry waits, at any other start, until another entry has
	// returned its members. restartLoadWait replaces bootstrapLoadWait. Both are shorter because
	// callers are waiting. They prevent all entries from reading the register from the log at
	// once after a power failure, which takes longer than loading it from each other.
	restartViewWait = 300 * time.Millisecond
	restartLoadWait = time.Second
	// startupWindow is the time after the start of the process during which requests are held
	// until the configuration and the targets are known. It is shorter than the 1 s after which
	// callers abandon a connection on which a request remains unread.
	startupWindow = 800 * time.Millisecond
	// tickEvery is the pause between two looks at what is due.
	tickEvery = 250 * time.Millisecond
	// leaveMargin is what is left of the grace time for ending the process.
	leaveMargin = 400 * time.Millisecond
	// lastAnswers is how long before that the last answers go out: what hasn't run by then is
	// refused, and a time-out that falls there can still be told.
	lastAnswers = 200 * time.Millisecond
	// keepCallers is how long callers are told that their connections may stay unused. A
	// stop takes at least as long, which is what a balancer needs to know of it as well.
	keepCallers = 2 * time.Second
	// idleCallers is how long a connection of a caller that doesn't heed this may.
	idleCallers = 2 * time.Minute
	// headerCallers is how long a caller may take to send a header.
	headerCallers = 10 * time.Second
)

// memoryShare is the part of a machine's memory from which on the collector works
// harder.
const memoryShare = 0.6

// repeatShare is the part of the repeats allowed that entries make: they count their
// own first attempts in windows that differ a little from the platform's.
const repeatShare = 0.75

// crashesToRefuse is how many targets a request may break before it is refused.
const crashesToRefuse = 3

// Places among the ports for the system's own use.
const (
	metricsPort = 10
	pulsePort   = 2
)

// fleetRoles are the processes on the users' platform.
func fleetRoles() []command {
	var all []command

	for _, r := range []struct {
		name, text string
		run        func(platform.Settings) error
	}{
		{"gateway", "Takes callers' requests on the users' platform.", runGateway},
		{"loader", "Brings the engine beside it to the weight version that operators named.", runLoader},
	} {
		file := os.Getenv(platform.SettingsVariable)
		sub := flaggy.NewSubcommand(r.name)
		sub.Description = r.text
		sub.String(&file, "s", "settings", "the platform's settings file (JSON)")
		flaggy.AttachSubcommand(sub, 1)
		all = append(all, command{sub, func() int {
			cfg, err := platform.LoadSettings(file)
			if err != nil {
				return exit(err)
			}

			return exit(r.run(cfg))
		}})
	}

	return all
}

// logTo returns a logger that writes through a bounded ring.
func logTo(cfg platform.Settings, role string, w *output.Writer) logr.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerologr.VerbosityFieldName = ""
	zerologr.NameFieldName = "part"

	z := zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Str("role", role).Str("self", cfg.VM).Logger()

	return zerologr.New(&z)
}

// bound sets the runtime to what the machine has.
func bound(cfg platform.Settings) {
	runtime.GOMAXPROCS(cfg.Cores)

	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryShare))
	}
}
