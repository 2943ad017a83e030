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
	"boragehub/failure"
	"boragehub/platform"
	"boragehub/roster"
)

// Times of the processes on the users' platform.
const (
	// operatorReadWait is how long an entry's read of the operators' topic waits for a
	// record. A configuration has to be in force 2 s after it was acknowledged, also when a
	// connection to the log became unresponsive shortly before, and at entries that poll this
	// one for it.
	operatorReadWait = 500 * time.Millisecond
	// sideOperatorReadWait is the same for a side process, which reads the log only when the
	// entry that it polls fails. There are several times as many side processes as entries,
	// and the number of calls to the log counts. As a connection to the log may become
	// unresponsive, and a weight version has a deadline of 8 s, side processes poll entries
	// as well.
	sideOperatorReadWait = 15 * time.Second
	// sidePeerInterval is the interval of those polls.
	sidePeerInterval = 3 * time.Second
	// sideLoadWait is how long a starting side process waits for an entry to return the
	// operators' topic before it reads the log. After a power failure, all side processes
	// start at once.
	sideLoadWait = 4 * time.Second
	// maxRegisterReadPause is the pause between two reads of the register, unless a quarter
	// of the drain deadline is less, after which draining targets may get no more requests. An
	// entry that polls this one may get a record 0.85 s later.
	maxRegisterReadPause = 500 * time.Millisecond
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
	// tickInterval is the pause between two rounds of periodic work.
	tickInterval = 250 * time.Millisecond
	// exitMargin is the part of the grace time that is left for the process to exit.
	exitMargin = 400 * time.Millisecond
	// lastResponsesMargin is how long before the end of the drain requests that have not run
	// are refused, so that these responses, and those for timeouts in that time, still reach
	// callers.
	lastResponsesMargin = 200 * time.Millisecond
	// callerKeepAlive is the idle timeout of connections that is announced to callers. A drain
	// takes at least as long, which is also the time that a balancer needs to notice it.
	callerKeepAlive = 2 * time.Second
	// callerIdleTimeout closes connections of callers that disregard callerKeepAlive.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout is the maximum time to receive a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request at every port. Configurations allow 16 KiB.
	maxHeaderBytes = 64 << 10
)

// memoryLimitRatio is the Go runtime's memory limit as a fraction of the VM's memory;
// near the limit the garbage collector runs more often.
const memoryLimitRatio = 0.55

// retryRatioShare is the fraction of the allowed retry ratio that entries use: they count requests
// a moment after callers have sent them.
const retryRatioShare = 0.9

// quarantineCrashes is the number of targets that a request, or prompts with one part, may crash before they
// are refused.
const quarantineCrashes = 3

// firstProbe is how long after its last crash a quarantined part of prompts is first tried again.
const firstProbe = 5 * time.Second

// archiveWriters is the number of entries that write a quarantined part to the log.
const archiveWriters = 2

// Offsets from the first of the ports for internal use.
const (
	metricsPortOffset = 10
	reportPortOffset  = 2
)

// platformCommands adds the subcommands that run the processes on the users' platform.
func platformCommands() []command {
	var commands []command

	for _, r := range []struct {
		name, description string
		run               func(platform.Settings) error
	}{
		{"gateway", "Runs an entry on the users' platform.", runGateway},
		{"loader", "Runs the side process of an engine, which loads the published weight version.", runLoader},
	} {
		file := os.Getenv(platform.SettingsVariable)
		options := platformOptions{contention: roster.ContentionAuto.String(), maxParts: platform.DefaultMaxParts}
		sub := flaggy.NewSubcommand(r.name)
		sub.Description = r.description
		sub.String(&file, "s", "settings", "the platform's settings file (JSON)")
		sub.String(&options.contention, "c", "contention", "which services count as contended: auto, on or off")
		sub.Int(&options.maxParts, "p", "max-parts", "how many parts a prompt may name to share any, 1 to 4096")
		flaggy.AttachSubcommand(sub, 1)
		commands = append(commands, command{sub, func() int {
			cfg, err := loadPlatformSettings(file, options)
			if err != nil {
				return exitStatus(err)
			}

			return exitStatus(r.run(cfg))
		}})
	}

	return commands
}

// platformOptions are the options of the command line that settings files don't have.
type platformOptions struct {
	contention string
	maxParts   int
}

// mostParts is the largest value of --max-parts.
const mostParts = 4096

// loadPlatformSettings reads the settings file and applies the command line to it.
func loadPlatformSettings(file string, options platformOptions) (platform.Settings, error) {
	mode, err := roster.ParseContention(options.contention)
	if err != nil {
		return platform.Settings{}, err
	}

	if options.maxParts < 1 || options.maxParts > mostParts {
		return platform.Settings{}, failure.New(failure.BadSettings, "--max-parts %d is not between 1 and %d", options.maxParts, mostParts)
	}

	cfg, err := platform.LoadSettings(file)
	cfg.Contention, cfg.MaxParts = mode, options.maxParts

	return cfg, err
}

// newLogger returns a logger that writes to w, which drops lines rather than block.
func newLogger(cfg platform.Settings, role string, w *output.Writer) logr.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerologr.VerbosityFieldName = ""
	zerologr.NameFieldName = "part"

	z := zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Str("role", role).Str("self", cfg.VM).Logger()

	return zerologr.New(&z)
}

// unreadMemoryRatio is the part of the VM's memory for responses that callers read slowly.
const unreadMemoryRatio = 0.25

// unreadBytes returns the memory for responses that callers read slowly, zero for no bound.
func unreadBytes(cfg platform.Settings) int {
	return int(unreadMemoryRatio * float64(cfg.MemoryMB<<20))
}

// responseMemoryRatio is the part of the VM's memory for long responses that have not ended. Their buffers
// take up to twice that.
const responseMemoryRatio = 0.125

// responseBytes returns the memory for long responses that have not ended, zero for the default.
func responseBytes(cfg platform.Settings) int64 {
	return int64(responseMemoryRatio * float64(cfg.MemoryMB<<20))
}

// setRuntimeLimits limits the Go runtime to the VM's cores and memory.
func setRuntimeLimits(cfg platform.Settings) {
	runtime.GOMAXPROCS(cfg.Cores)
	limitMemory(cfg.MemoryMB)
}

// limitMemory limits the Go runtime to a VM's memory; zero sets no limit.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryLimitRatio))
	}
}
